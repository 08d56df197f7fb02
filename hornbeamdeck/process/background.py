"""Short background tasks that outlive the request that started them."""

from collections.abc import Coroutine
from typing import Any

import structlog
from curio import Task, spawn

__all__ = ('Background',)

_LOGGER = structlog.get_logger(prefix='background')


class Background:
    """Counts running background tasks, so that a shutdown can await them."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._pending = 0

    @property
    def pending(self) -> int:
        """Return the number of unfinished tasks."""
        return self._pending

    async def async_spawn(self, work: Coroutine[Any, Any, Any]) -> Task:
        """Start a background task.

        :returns: the task, which the caller may join.
        """
        self._pending += 1
        return await spawn(self._async_run, work, daemon=True)

    async def _async_run(self, work: Coroutine[Any, Any, Any]) -> Any:
        try:
            return await work
        except Exception:
            _LOGGER.exception('background task failed')
            raise
        finally:
            self._pending -= 1
