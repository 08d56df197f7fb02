"""A gateway process for crowds of callers, and an ordinary one."""

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from result import Ok

from hornbeamdeck.connection.client import async_fetch_on_new_connection
from tests.platform.fleet import make_request
from tests.platform.gateway_process import (
    GatewayProcess,
    async_is_ready,
    started_process,
)
from tests.platform.standins import EngineStandin, StoreStandin, document

DESCRIPTORS = 1024
CALL_MS = 20_000
# Longer than a test, so that no head ends by itself.
HEADER_MS = 30_000


@asynccontextmanager
async def async_started(
    memory_mb: int,
    unread_log: int | None = None,
    descriptors: int = DESCRIPTORS,
    **limits: int,
) -> AsyncIterator[GatewayProcess]:
    """Start a process that gives callers the usual limits.

    :param unread_log: the end of a pipe that its log is written to.
    :param limits: of the configuration, that replace the defaults.
    """
    store = StoreStandin()
    stored = document()
    stored['limits'] = {'header_timeout_ms': HEADER_MS, **limits}
    await store.async_put('config', 'main', stored)
    for name in ('counter-1', 'counter-2'):
        engine = EngineStandin(name)
        await engine.async_start()
        await store.async_put('servers', name, engine.entry('counter'))
    log = None if unread_log is None else os.fdopen(unread_log, 'wb')
    async with started_process(
        store, descriptors, log, memory_mb=memory_mb
    ) as process:
        yield process


async def async_expect_answer(
    process: GatewayProcess, body: bytes = b'{}'
) -> None:
    """Make one ordinary request."""
    assert await async_is_ready(process.addresses)
    request = make_request(
        '/seats/pay/x', hornbeamdeck_deadline_ms=str(CALL_MS)
    )
    got = await async_fetch_on_new_connection(
        process.addresses.callers,
        request._replace(body=body),
        timeout_ms=CALL_MS,
    )
    assert isinstance(got, Ok)
    assert got.ok_value.status == 200
