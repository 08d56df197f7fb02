"""Tests of the decoder of chunks against h11 and of its use of events."""

import h11
from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.connection.chunk_decoder import ChunkDecoder
from hornbeamdeck.connection.event_progress import EventProgress
from hornbeamdeck.connection.response_limits import ResponseLimits
from hornbeamdeck.request.event_parser import EventParser

MANY = 1_000_000
PARTS = st.lists(st.binary(min_size=1, max_size=40), max_size=12)
SPLITS = st.lists(st.integers(0, 600), max_size=12)
# Texts in which ends of events are frequent, in all forms and positions.
LINES = st.lists(st.sampled_from((b'x', b'\n', b'\r', b'\r\n')), max_size=40)


def _split(encoded: bytes, splits: list[int]) -> list[bytes]:
    bounds = [0, *sorted(splits), len(encoded)]
    return [
        encoded[start:end]
        for start, end in zip(bounds, bounds[1:], strict=False)
        if start < end
    ]


def _encode(parts: list[bytes]) -> bytes:
    protocol = h11.Connection(h11.SERVER)
    protocol.receive_data(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
    protocol.next_event()
    protocol.next_event()
    protocol.send(h11.Response(status_code=200, headers=[]))
    sent = [protocol.send(h11.Data(data=part)) for part in parts]
    return b''.join([each or b'' for each in sent]) + b'0\r\n\r\n'


@given(PARTS, SPLITS)
def test_any_split_of_chunks_decodes_to_what_was_sent(
    parts: list[bytes], splits: list[int]
) -> None:
    """Guards against lost bytes where a read ends within a chunk or a size."""
    decoder = ChunkDecoder(MANY)
    encoded = _encode(parts) + b'rest'
    decoded = b''
    for piece in _split(encoded, splits):
        if decoder.has_ended:
            break
        decoded += decoder.decode(piece)
    assert decoder.has_ended
    assert decoded == b''.join(parts)
    assert b'rest'.startswith(decoder.rest)


@given(LINES, SPLITS)
def test_progress_is_made_where_events_end(
    lines: list[bytes], splits: list[int]
) -> None:
    """Guards against events that a limit does not see, or sees too often."""
    parser = EventParser()
    progress = EventProgress()
    limits = ResponseLimits()
    for chunk in _split(b''.join(lines), splits):
        has_event = bool(parser.add_chunk(chunk))
        assert progress.record(chunk, limits) == has_event
