"""Writes the status of roll-outs to the store.

The owner of the fleet's cells writes it, or an instance that ranks next to it
while the owner can't reach the store. A status is written only on the revision
that it was decided on, so that a former owner, or a call that takes effect
late, never replaces a newer status.
"""

from collections.abc import Callable
from typing import Final

import structlog
from curio import sleep
from result import Err

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.rollout.book import RolloutBook, RolloutEntry
from hornbeamdeck.rollout.store_interface import (
    RolloutChange,
    RolloutStore,
    StoredRollout,
)
from hornbeamdeck.scheduling.rollout import RolloutPhase

__all__ = ('StatusWriter',)

_LOGGER = structlog.get_logger(prefix='rollout')

# Interval of checks whether a status is due, and between attempts to write it.
CHECK_INTERVAL_MS: Final = 100
RETRY_MS: Final = 300
# Requests that were granted before a version was rolled back have reached its
# engines by then, or are sent to none. The status tells that none follows.
ROLL_BACK_SETTLE_MS: Final = 250
# How long the owner alone may write the first status of an order. Whoever
# writes that may use the slack, and only the owner has a use for it.
OWNER_BEGINS_MS: Final = 2000


class StatusWriter:
    """Keeps the status of each order in the store up to date."""

    def __init__(
        self,
        store: RolloutStore,
        book: RolloutBook,
        is_owner: Callable[[], bool],
        wall_clock_ms: Callable[[], int],
    ) -> None:
        """Initialize; nothing is written yet.

        :param is_owner: whether this process owns the fleet's cells now.
        :param wall_clock_ms: returns the time of day in Unix milliseconds.
        """
        self._store = store
        self._book = book
        self._is_owner = is_owner
        self._wall_clock_ms = wall_clock_ms
        # When the status of a service's roll-back was first due.
        self._rolled_back_ms: dict[str, float] = {}

    async def async_run(self, is_writer: Callable[[], bool]) -> None:
        """Write each status that is due; never returns.

        :param is_writer: whether this process is to write now.
        """
        while True:
            await sleep(CHECK_INTERVAL_MS / MILLIS_PER_SECOND)
            if is_writer():
                await self.async_write_due()

    async def async_write_due(self) -> None:
        """Write each status that the store does not hold yet."""
        for service, entry in tuple(self._book.entries.items()):
            await self._async_write_if_due(service, entry)

    async def _async_write_if_due(
        self, service: str, entry: RolloutEntry
    ) -> None:
        stored = entry.stored
        phase = entry.rollout.phase
        if stored is None or not _is_status_due(stored, phase):
            self._rolled_back_ms.pop(service, None)
            return
        if phase == RolloutPhase.ROLLED_BACK:
            due_ms = self._rolled_back_ms.setdefault(service, now_ms())
            if now_ms() - due_ms < ROLL_BACK_SETTLE_MS:
                return
        age_ms = now_ms() - entry.rollout.started_ms
        if stored.phase is not None or (
            self._is_owner() or age_ms >= OWNER_BEGINS_MS
        ):
            await self._async_write(service, entry, stored)

    async def _async_write(
        self, service: str, entry: RolloutEntry, stored: StoredRollout
    ) -> None:
        rollout = entry.rollout
        phase = rollout.phase
        now = now_ms()
        started_unix_ms = self._wall_clock_ms() - int(now - rollout.started_ms)
        written = await self._store.write_status(
            service,
            stored._replace(phase=phase, started_unix_ms=started_unix_ms),
        )
        if isinstance(written, Err):
            _LOGGER.warning(
                'status not written',
                service=service,
                cause=written.err_value.cause,
            )
            await sleep(RETRY_MS / MILLIS_PER_SECOND)
            return
        change = written.ok_value
        is_own = _is_own_status(change, started_unix_ms)
        _LOGGER.info(
            'status written' if is_own else 'status not accepted',
            service=service,
            phase=phase.name.lower(),
            stored=str(change.stored),
        )
        if stored.phase is None and is_own and not entry.has_begun:
            rollout.begin(now)
        self._book.apply_change(change, now_ms())


def _is_status_due(stored: StoredRollout, phase: RolloutPhase) -> bool:
    """Return whether the status in the store does not tell the phase.

    A status tells whether a roll-out has ended, but not the phases before.
    """
    if stored.phase is None:
        return True
    return phase.is_final and not stored.phase.is_final


def _is_own_status(change: RolloutChange, started_unix_ms: int) -> bool:
    stored = change.stored
    return stored is not None and stored.started_unix_ms == started_unix_ms
