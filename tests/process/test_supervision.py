"""Tests of tasks that are started again after an exception."""

from unittest.mock import patch

from hornbeamdeck.process.supervision import async_supervise
from hornbeamdeck.store.engine_directory import EngineDirectory
from tests.platform.fleet import PlatformFleet, on_platform
from tests.support import curio_test


@curio_test
async def test_failed_task_is_started_again_until_it_returns() -> None:
    """Guards against a task that is gone for as long as the process lives."""
    failures: list[str] = []
    ends: list[type[Exception] | None] = [None, KeyError, RecursionError]

    async def _async_work() -> None:
        end = ends.pop()
        if end is not None:
            raise end

    await async_supervise(_async_work, failures.append)
    assert not ends
    assert len(failures) == 2
    assert failures[0].endswith('_async_work')


@on_platform()
async def test_engines_are_followed_after_an_exception(
    fleet: PlatformFleet,
) -> None:
    """Guards against requests to engines that have left long ago."""
    gateway = fleet.gateways[0]
    name = 'StoreReader.async_follow_engines'
    failed = gateway.components.metrics.failed_tasks
    fault = patch.object(
        EngineDirectory, 'confirm_revision', side_effect=RuntimeError
    )
    with fault:
        await fleet.async_until(lambda: failed[name] > 1)
    leaving = fleet.booking_engines[0]
    entry = leaving.entry('counter', state='draining')
    await fleet.store.async_put('servers', leaving.name, entry)
    directory = gateway.components.directory
    await fleet.async_until(lambda: directory.engines[leaving.name].is_draining)
