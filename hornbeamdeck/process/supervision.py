"""Keeps the long-lived tasks of a process running."""

from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias

import structlog
from curio import sleep
from curio.errors import TaskTimeout

from hornbeamdeck.clock import now_ms
from hornbeamdeck.process.backoff import backoff_s

__all__ = ('Work', 'async_supervise')

_LOGGER = structlog.get_logger(prefix='tasks')

Work: TypeAlias = Callable[[], Coroutine[Any, Any, None]]

# After a failure that comes later than this, the backoff begins anew.
STEADY_MS: Final = 10_000


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
        except (Exception, TaskTimeout):
            name = str(getattr(running, '__qualname__', work))
            count_failure(name)
            _LOGGER.exception('task failed', task=name)
        else:
            return
        if now_ms() - started_ms > STEADY_MS:
            waits = backoff_s()
        await sleep(next(waits))
