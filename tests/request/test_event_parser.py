"""Complete events from chunks of a stream."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.request.event_parser import EventParser

STREAM = b''.join(
    f'id: {number}\ndata: w\n\n'.encode() for number in range(1, 6)
)


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_any_split_into_chunks_yields_the_same_events(
    splits: list[int],
) -> None:
    parser = EventParser()
    events = []
    start = 0
    ends = [*sorted(splits), len(STREAM)]
    for end in ends:
        events += parser.add_chunk(STREAM[start:end])
        start = end
    assert b''.join(event.encoded for event in events) == STREAM
    assert [event.event_id for event in events] == ['1', '2', '3', '4', '5']
    assert not parser.has_partial_event


def test_partial_event_is_withheld() -> None:
    """Guards against relaying a partial event of an engine that fails. It would
    be joined to the first event of the engine that continues the stream.
    """
    parser = EventParser()
    assert len(parser.add_chunk(STREAM[:-3])) == 4
    assert parser.has_partial_event


def test_all_line_endings_terminate_events() -> None:
    for end in (b'\n', b'\r\n', b'\r'):
        parser = EventParser()
        events = parser.add_chunk(b'id: 4' + end + b'data: x' + end + end)
        assert len(events) == 1


def test_events_without_an_id_have_an_empty_id() -> None:
    assert EventParser().add_chunk(b'data: id: 3\n\n')[0].event_id == ''
