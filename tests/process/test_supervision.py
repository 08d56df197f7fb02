"""Tests of tasks that are started again after an exception."""

from unittest.mock import patch

from curio.errors import (
    TaskTimeout,
    TimeoutCancellationError,
    UncaughtTimeoutError,
)

from hornbeamdeck.process.supervision import TaskFailures, async_supervise
from hornbeamdeck.store.engine_directory import EngineDirectory
from tests.platform.fleet import PlatformFleet, on_platform
from tests.support import curio_test


@curio_test
async def test_failed_task_is_started_again_until_it_returns() -> None:
    """Guards against a task that is gone for as long as the process lives."""
    failures: list[str] = []
    ends: list[type[BaseException] | None] = [
        None,
        KeyError,
        RecursionError,
        TaskTimeout,
        TimeoutCancellationError,
        UncaughtTimeoutError,
    ]

    async def _async_work() -> None:
        end = ends.pop()
        if end is not None:
            raise end('failed')

    await async_supervise(_async_work, failures.append)
    assert not ends
    assert len(failures) == 5
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


@on_platform(2)
async def test_instance_that_follows_no_list_is_not_ready(
    fleet: PlatformFleet,
) -> None:
    """Guards against callers at an instance that follows no list of engines."""
    first, second = fleet.gateways
    reader = first.components.reader
    with (
        patch.object(reader, '_is_due', side_effect=RuntimeError) as is_due,
        patch('hornbeamdeck.process.supervision.LASTING_MS', 300),
        patch('hornbeamdeck.process.supervision.STEADY_MS', 1000),
    ):
        await fleet.async_until(lambda: not first.is_ready)
        assert second.is_ready
        assert (await fleet.async_call('/seats/x', 1)).status == 200
        is_due.side_effect = None
        await fleet.async_until(lambda: first.is_ready)
    assert (await fleet.async_call('/seats/x')).status == 200


def test_failures_with_long_pauses_do_not_last() -> None:
    """Guards against an instance that is taken out for single failures."""
    failures = TaskFailures()
    with patch('hornbeamdeck.process.supervision.now_ms') as clock:
        for at_ms in (0, 1000, 20_000, 40_000, 41_000):
            clock.return_value = at_ms
            failures.record('task')
            assert not failures.is_lasting
        clock.return_value = 44_500
        failures.record('other')
        assert not failures.is_lasting
        failures.record('task')
        assert failures.is_lasting
        clock.return_value = 55_000
        assert not failures.is_lasting
