"""Keeps the long-lived tasks of a process running."""

from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple, TypeAlias

import structlog
from curio import sleep
from curio.errors import CancelledError, TaskCancelled

from hornbeamdeck.clock import now_ms
from hornbeamdeck.process.backoff import backoff_s

__all__ = ('TaskFailures', 'Work', 'async_supervise')

_LOGGER = structlog.get_logger(prefix='tasks')

Work: TypeAlias = Callable[[], Coroutine[Any, Any, None]]

# After a failure that comes later than this, the backoff begins anew.
STEADY_MS: Final = 10_000
# A task that has failed again and again for so long does not do its work.
LASTING_MS: Final = 3000


class _Failures(NamedTuple):
    since_ms: float
    last_ms: float


class TaskFailures:
    """Since when tasks have been failing again and again."""

    def __init__(self) -> None:
        """Start without failures."""
        self._by_task: dict[str, _Failures] = {}

    def record(self, name: str) -> None:
        """Record that a task has failed."""
        now = now_ms()
        known = self._by_task.get(name)
        if known is None or now - known.last_ms > STEADY_MS:
            known = _Failures(now, now)
        self._by_task[name] = known._replace(last_ms=now)

    @property
    def is_lasting(self) -> bool:
        """Whether a task has failed for `LASTING_MS` and has not recovered."""
        now = now_ms()
        return any(
            each.last_ms - each.since_ms > LASTING_MS
            and now - each.last_ms < STEADY_MS
            for each in self._by_task.values()
        )


async def async_supervise(
    work: Work, count_failure: Callable[[str], None]
) -> None:
    """Run a task, and start it again after an exception.

    Returns when the task does.

    :param count_failure: called with the name of the task.
    """
    waits = backoff_s()
    while True:
        started_ms = now_ms()
        running = work()
        try:
            await running
        except TaskCancelled:
            raise
        except (Exception, CancelledError):
            # Time limits that have passed are no exceptions to curio.
            name = str(getattr(running, '__qualname__', work))
            count_failure(name)
            _LOGGER.exception('task failed', task=name)
        else:
            return
        if now_ms() - started_ms > STEADY_MS:
            waits = backoff_s()
        await sleep(next(waits))
