"""Tests of buffered log output."""

import os

import pytest

from hornbeamdeck.observability import log_buffer

LONG_CHARS = 16_000
MAX_BYTES = 2_097_152


def test_lines_are_dropped_and_counted_while_the_reader_is_stalled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The log collector stops reading and the pipe fills up. A process that
    waited for it would stop while it serves requests.
    """
    read_end, write_end = os.pipe()
    monkeypatch.setattr(log_buffer, 'STDOUT', write_end)
    dropped: list[None] = []
    buffer = log_buffer.LogBuffer(lambda: dropped.append(None))
    for _ in range(log_buffer.MAX_LINES):
        buffer.write('x' * 100 + '\n')
    buffer.write_out()
    for _ in range(log_buffer.MAX_LINES):
        buffer.write('y' * 100 + '\n')
    assert dropped
    output = os.read(read_end, 10_000_000)
    buffer.write_out()
    output += os.read(read_end, 10_000_000)
    assert output.startswith(b'x' * 100 + b'\n')
    assert set(output) == set(b'x\n')
    os.close(read_end)
    buffer.write_out()
    os.close(write_end)


def test_lines_on_requests_do_not_displace_those_on_the_load(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an overload that its own log does not explain.

    An owner refuses more requests than the collector can read lines. The line
    on the load of its engines is written all the same, and soon.
    """
    read_end, write_end = os.pipe()
    monkeypatch.setattr(log_buffer, 'STDOUT', write_end)
    buffer = log_buffer.LogBuffer(lambda: None)
    refusal = '{"request_id": "' + 'x' * 300 + '"}'
    for _ in range(log_buffer.MAX_LINES * 2):
        buffer.write(refusal)
        buffer.write('\n')
    buffer.write_out()
    buffer.write('{"event": "scheduler: load"}\n')
    buffer.write_out()
    output = os.read(read_end, 10_000_000)
    buffer.write_out()
    output += os.read(read_end, 10_000_000)
    assert b'scheduler: load' in output
    os.close(read_end)
    buffer.write_out()
    os.close(write_end)


def test_long_lines_are_dropped_before_they_use_up_the_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stalled log that holds what callers have sent."""
    read_end, write_end = os.pipe()
    monkeypatch.setattr(log_buffer, 'STDOUT', write_end)
    dropped: list[None] = []
    buffer = log_buffer.LogBuffer(lambda: dropped.append(None))
    refusal = '{"request_id": "' + 'x' * LONG_CHARS + '"}\n'
    for _ in range(log_buffer.MAX_LINES // 2):
        buffer.write(refusal)
    buffer.write('{"event": "scheduler: load"}\n')
    output = _read_all(buffer, read_end)
    assert b'scheduler: load' in output
    assert dropped
    assert len(output) <= MAX_BYTES
    os.close(read_end)
    os.close(write_end)


def _read_all(buffer: log_buffer.LogBuffer, read_end: int) -> bytes:
    os.set_blocking(read_end, False)
    output = b''
    while True:
        buffer.write_out()
        try:
            output += os.read(read_end, MAX_BYTES)
        except BlockingIOError:
            return output
