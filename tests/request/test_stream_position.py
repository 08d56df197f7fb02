"""Selection of the events that a caller has not received yet."""

from itertools import accumulate, pairwise
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.request.stream_position import StreamPosition

EVENTS = 9


def _event(number: int) -> bytes:
    return b'id: %d\ndata: word %d\n\n' % (number, number)


class _Attempt(NamedTuple):
    """What an engine sends.

    :param shift: difference of its first event to the one that is due.
    :param steps: between the numbers of its events.
    :param cut: how many bytes of its last event are missing.
    :param splits: where its bytes are split into chunks.
    """

    shift: int
    steps: list[int]
    cut: int
    splits: list[int]

    def chunks(self, due: int) -> list[bytes]:
        first = 1 if due == 1 else max(due + self.shift, 1)
        numbers = accumulate([first, *self.steps])
        sent = b''.join(_event(max(number, 1)) for number in numbers)
        sent = sent[: len(sent) - self.cut]
        bounds = sorted([0, len(sent), *self.splits])
        return [sent[start:end] for start, end in pairwise(bounds)]


_ATTEMPTS = st.lists(
    st.builds(
        _Attempt,
        st.integers(-3, 1),
        st.lists(st.sampled_from([1, 1, 1, 1, 0, 2, -1]), max_size=EVENTS),
        st.integers(0, 12),
        st.lists(st.integers(0, 250), max_size=6),
    ),
    max_size=5,
)


def _relay(position: StreamPosition, chunks: list[bytes]) -> bytes:
    """Return what is relayed of an attempt, up to the first wrong event."""
    relayed = b''
    position.start_attempt()
    for chunk in chunks:
        selection = position.add_chunk(chunk)
        relayed += b''.join(each.encoded for each in selection.unsent)
        if not selection.is_in_order:
            break
    return relayed


@given(_ATTEMPTS)
def test_any_attempts_yield_each_event_once(attempts: list[_Attempt]) -> None:
    """Guards against events that are missing, repeated or out of order."""
    position = StreamPosition('')
    relayed = b''
    due = 1
    for attempt in attempts:
        relayed += _relay(position, attempt.chunks(due))
        due = int(position.last_event_id or '0') + 1
        assert relayed == b''.join(map(_event, range(1, due)))


def test_events_before_a_gap_are_selected() -> None:
    """Guards against events that count as sent and are not."""
    position = StreamPosition('')
    selection = position.add_chunk(_event(1) + _event(2) + _event(4))
    assert [each.event_id for each in selection.unsent] == ['1', '2']
    assert not selection.is_in_order
    assert position.last_event_id == '2'


def test_numbers_may_have_leading_zeros() -> None:
    """Guards against breaking off a stream for how it writes its numbers."""
    position = StreamPosition('08')
    selection = position.add_chunk(_event(8) + b'id:009\ndata: x\n\n')
    assert [each.event_id for each in selection.unsent] == ['009']
    assert selection.is_in_order


def test_blocks_that_are_no_events_pass() -> None:
    """Guards against breaking off a stream that is kept alive by comments."""
    position = StreamPosition('')
    kept_alive = b': alive\n\n'
    hints = b'retry: 50\n\nhornbeamdeck-weight-versions: 3\n' + _event(2)
    for chunk in (kept_alive, _event(1), kept_alive, hints):
        selection = position.add_chunk(chunk)
        assert selection.is_in_order
        assert b''.join(each.encoded for each in selection.unsent) == chunk
    assert position.last_event_id == '2'
    assert position.is_resumable


def test_ids_of_other_kinds_are_not_compared() -> None:
    """Guards against breaking off streams whose ids are no numbers."""
    position = StreamPosition('aa')
    for event_id in (b'b', b'9f', b'7'):
        selection = position.add_chunk(b'id: %b\ndata: x\n\n' % event_id)
        assert len(selection.unsent) == 1
    assert position.is_resumable
    assert position.last_event_id == '7'


def test_id_that_no_header_can_hold_ends_the_resumability() -> None:
    """Guards against asking engine after engine with an invalid header."""
    for event_id in (b'a\0b', b'\xb2', b'x' * 5000):
        position = StreamPosition('')
        position.add_chunk(b'id: %b\ndata: x\n\n' % event_id)
        assert not position.is_resumable
