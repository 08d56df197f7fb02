"""Log lines on their way to standard output."""

import os

import pytest

from hornbeamdeck.process import log_buffer


def test_lines_that_nobody_reads_are_dropped_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Whoever collects the logs stands still and the pipe fills. A process
    that waited for it would stop in the middle of serving.
    """
    reading, writing = os.pipe()
    monkeypatch.setattr(log_buffer, 'STDOUT', writing)
    dropped: list[None] = []
    buffer = log_buffer.LogBuffer(lambda: dropped.append(None))
    for _ in range(log_buffer.MAX_LINES):
        buffer.write('x' * 100 + '\n')
    buffer.write_out()
    for _ in range(log_buffer.MAX_LINES):
        buffer.write('y' * 100 + '\n')
    assert dropped
    read = os.read(reading, 10_000_000)
    buffer.write_out()
    read += os.read(reading, 10_000_000)
    assert read.startswith(b'x' * 100 + b'\n')
    assert set(read) == set(b'x\n')
    os.close(reading)
    buffer.write_out()
    os.close(writing)
