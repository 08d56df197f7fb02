"""Engines that send without end."""

import pytest

from hornbeamdeck.const import MEBIBYTE
from tests.platform.endless_calls import (
    CALLS,
    async_call_at_once,
    count_received_bytes,
    most_runs,
)
from tests.platform.fleet import PlatformFleet, on_platform

READ_BYTES = 65_536
HEAD_BYTES = 65_536 + READ_BYTES
# A body may also have this much framing, which is counted apart.
BODY_BYTES = 4 * MEBIBYTE + 262_144 + 2 * READ_BYTES
STREAM_BYTES = MEBIBYTE + 262_144 + 2 * READ_BYTES
FRAMING = 'limit exceeded: framing'
# What engines send, the limits that end it on routes without and with streams,
# and how many bytes of it are read at most.
ROWS = [
    ('endless_head', 'head', 'head', HEAD_BYTES, HEAD_BYTES),
    ('endless_field', 'head', 'head', HEAD_BYTES, HEAD_BYTES),
    ('slow_head', 'head_time', 'head_time', HEAD_BYTES, HEAD_BYTES),
    ('endless_interim', 'interim', 'interim', HEAD_BYTES, HEAD_BYTES),
    ('slow_interim', 'interim', 'interim', HEAD_BYTES, HEAD_BYTES),
    ('endless_chunks', 'body', 'unfinished_event', BODY_BYTES, STREAM_BYTES),
    ('endless_lines', 'framing', 'framing', BODY_BYTES, STREAM_BYTES),
    ('endless_bytes', 'framing', 'framing', BODY_BYTES, STREAM_BYTES),
    ('endless_extension', 'framing', 'framing', BODY_BYTES, STREAM_BYTES),
]
_BY_ROW = pytest.mark.parametrize(
    ('fault', 'limit', 'stream_limit', 'most_bytes', 'most_stream_bytes'), ROWS
)


def _misbehave(fleet: PlatformFleet, fault: str) -> None:
    for engine in (fleet.model_engines[0], fleet.booking_engines[0]):
        engine.faults = [fault] * 4 * CALLS


def _ended_by(limit: str) -> set[tuple[str, str]]:
    return {('failed', f'limit exceeded: {limit}')}


@_BY_ROW
def test_endless_response_leaves_repeatable_calls_to_another_engine(
    fault: str,
    limit: str,
    stream_limit: str,
    most_bytes: int,
    most_stream_bytes: int,
) -> None:
    """Guards against calls and memory that one engine's noise holds."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        _misbehave(fleet, fault)
        for path, ended_by, most in (
            ('/seats/x', limit, most_bytes),
            ('/guide/x', stream_limit, most_stream_bytes),
        ):
            with count_received_bytes() as received:
                ends = await async_call_at_once(fleet, path)
            assert ends.statuses == [200] * CALLS
            assert ends.causes == _ended_by(ended_by)
            assert max(received.values()) <= most

    _run()


@_BY_ROW
def test_endless_response_ends_other_calls_as_failed_and_once(
    fault: str,
    limit: str,
    stream_limit: str,
    most_bytes: int,
    most_stream_bytes: int,
) -> None:
    """Guards against calls that wait for their deadline, or run twice."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        _misbehave(fleet, fault)
        for path, ended_by, most in (
            ('/seats/pay/x', limit, most_bytes),
            ('/note/x', stream_limit, most_stream_bytes),
        ):
            for engine in fleet.model_engines + fleet.booking_engines:
                engine.executed.clear()
            with count_received_bytes() as received:
                ends = await async_call_at_once(fleet, path)
            assert set(ends.statuses) == {200, 502}
            assert ends.causes == _ended_by(ended_by)
            assert max(received.values()) <= most
            assert most_runs(fleet) == 1

    _run()
