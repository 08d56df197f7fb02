"""A gateway process beside callers that don't behave."""

import os

import pytest
from curio import run

from tests.platform.crowd_kinds import (
    CHUNKED_HEAD,
    LONG_ID,
    REQUESTS,
    UNFINISHED_BODY,
    UNFINISHED_FRAME,
    UNFINISHED_HEAD,
)
from tests.platform.crowd_process import (
    DESCRIPTORS,
    async_expect_answer,
    async_started,
)
from tests.platform.crowds import Crowd, async_beside_crowd

# As the settings of a deployment state it.
MEMORY_MB = 96
# As many as an address for short calls serves at once.
CALLERS = 100
# More than half of the connections that the process may have open, and as much
# memory for each as where an instance has 1,370 connections and 222 MB.
MANY_CALLERS = 600
MANY_MEMORY_MB = 128
# Pieces sent little by little, not as fast as the process reads.
PIECE_BYTES = 4096
PAUSE_S = 0.001
LONG_BODY_CALLERS = 8
# Where a configuration allows it.
LONG_HEAD_BYTES = 200_000
# Enough to fill a log that nobody reads.
LONG_ID_CALLERS = 8
# Fewer descriptors than a crowd has connections.
FEW_DESCRIPTORS = 220
CROWDED_CALLERS = 320


async def _async_bear(
    listener: str, crowd: Crowd, memory_mb: int, unread_log: int | None = None
) -> None:
    """Check that a process lives, stays within its limits and answers."""
    async with async_started(memory_mb, unread_log) as process:
        address = getattr(process.addresses, listener)
        async with async_beside_crowd(process, (address, crowd)) as usage:
            assert usage.memory_mb < memory_mb
            assert usage.descriptors < DESCRIPTORS
            await async_expect_answer(process)
        await async_expect_answer(process)


@pytest.mark.parametrize('kind', REQUESTS)
def test_requests_sent_ahead_at_once_stay_within_the_memory(kind: str) -> None:
    """Guards against a process that keeps all requests sent ahead."""
    listener, sent = REQUESTS[kind]
    crowd = Crowd(CALLERS, repeats=sent)
    run(_async_bear, listener, crowd, MEMORY_MB)


@pytest.mark.parametrize('kind', REQUESTS)
def test_requests_sent_ahead_steadily_stay_within_the_memory(kind: str) -> None:
    """Guards against what is kept for longer than a request takes."""
    listener, sent = REQUESTS[kind]
    crowd = Crowd(CALLERS, b'', sent, PIECE_BYTES, PAUSE_S)
    run(_async_bear, listener, crowd, MEMORY_MB)


def test_served_requests_sent_ahead_stay_within_the_memory() -> None:
    """Guards against responses of engines that pile up unread."""
    listener, sent = REQUESTS['with_route']
    crowd = Crowd(CALLERS, repeats=sent, id_mark=b'ahead')
    run(_async_bear, listener, crowd, MEMORY_MB)


@pytest.mark.parametrize(
    'kind', ['without_headers', 'without_route', 'with_route']
)
def test_many_callers_that_send_ahead_stay_within_the_memory(
    kind: str,
) -> None:
    """Guards against many connections that each hold a little unread."""
    listener, sent = REQUESTS[kind]
    crowd = Crowd(MANY_CALLERS, repeats=sent)
    run(_async_bear, listener, crowd, MANY_MEMORY_MB)


def test_many_unfinished_heads_stay_within_the_memory() -> None:
    """Guards against many connections that each hold a part of a head."""
    crowd = Crowd(MANY_CALLERS, begins=UNFINISHED_HEAD)
    run(_async_bear, 'callers', crowd, MANY_MEMORY_MB)


def test_many_long_heads_stay_within_the_memory() -> None:
    """Guards against heads that are held but not counted."""
    crowd = Crowd(MANY_CALLERS, begins=UNFINISHED_HEAD + b'x' * LONG_HEAD_BYTES)

    async def _async_scenario() -> None:
        async with async_started(
            MANY_MEMORY_MB, max_header_bytes=LONG_HEAD_BYTES * 2
        ) as process:
            address = process.addresses.callers
            async with async_beside_crowd(process, (address, crowd)) as usage:
                assert usage.memory_mb < MANY_MEMORY_MB
                await async_expect_answer(process)

    run(_async_scenario)


@pytest.mark.parametrize('listener', ['ready', 'directory', 'metrics'])
def test_unfinished_heads_leave_other_endpoints_served(listener: str) -> None:
    """Guards against endpoints whose connections hold a part of a head."""
    crowd = Crowd(CALLERS, begins=UNFINISHED_HEAD)
    run(_async_bear, listener, crowd, MEMORY_MB)


@pytest.mark.parametrize('body_bytes', [2, 100_000])
def test_unfinished_large_bodies_leave_other_callers_served(
    body_bytes: int,
) -> None:
    """Guards against a few callers that hold all memory for bodies."""

    async def _async_scenario() -> None:
        crowd = Crowd(LONG_BODY_CALLERS, begins=UNFINISHED_BODY)
        async with (
            async_started(MEMORY_MB) as process,
            async_beside_crowd(
                process, (process.addresses.callers, crowd)
            ) as usage,
        ):
            assert usage.memory_mb < MEMORY_MB
            await async_expect_answer(process, bytes(body_bytes))

    run(_async_scenario)


def test_small_chunks_leave_other_callers_served() -> None:
    """Guards against a body in tiny chunks that occupies the process."""
    crowd = Crowd(4, begins=CHUNKED_HEAD, repeats=b'1\r\nx\r\n', until_s=6)
    run(_async_bear, 'callers', crowd, MEMORY_MB)


@pytest.mark.parametrize(
    ('begins', 'repeats'),
    [(UNFINISHED_FRAME, b''), (b'', b'\x00\x00\x0f\xff' + b'x' * 4095)],
    ids=['unfinished_frame', 'endless_frames'],
)
def test_strangers_at_the_peer_address_stay_within_the_memory(
    begins: bytes, repeats: bytes
) -> None:
    """Guards against strangers that fill a process before a handshake."""
    crowd = Crowd(MANY_CALLERS, begins, repeats)
    run(_async_bear, 'peers', crowd, MANY_MEMORY_MB)


def test_long_request_ids_in_an_unread_log_stay_within_the_memory() -> None:
    """Guards against log lines that grow with what a caller sends."""
    read_end, write_end = os.pipe()
    crowd = Crowd(LONG_ID_CALLERS, repeats=LONG_ID)
    try:
        run(_async_bear, 'callers', crowd, MEMORY_MB, write_end)
    finally:
        os.close(read_end)


@pytest.mark.parametrize(
    ('begins', 'repeats'),
    [
        (UNFINISHED_HEAD, b''),
        (CHUNKED_HEAD, b''),
        (b'', REQUESTS['with_route'][1]),
    ],
    ids=['unfinished_heads', 'unfinished_bodies', 'unread_responses'],
)
def test_crowd_that_takes_all_connections_leaves_one_for_others(
    begins: bytes, repeats: bytes
) -> None:
    """Guards against callers that keep connections and finish nothing."""

    async def _async_scenario() -> None:
        crowd = Crowd(CROWDED_CALLERS, begins, repeats)
        async with (
            async_started(MANY_MEMORY_MB, None, FEW_DESCRIPTORS) as process,
            async_beside_crowd(
                process, (process.addresses.callers, crowd)
            ) as usage,
        ):
            assert usage.memory_mb < MANY_MEMORY_MB
            assert usage.descriptors < FEW_DESCRIPTORS
            await async_expect_answer(process)

    run(_async_scenario)
