"""What this process knows of all roll-outs, and of versions not known yet.

It learns of them from the store and from peers, in any order and repeatedly. A
roll-out never returns to an earlier phase, and a final phase that the store
holds outweighs every other.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import structlog

from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.rollout.store_interface import RolloutChange, StoredRollout
from hornbeamdeck.scheduling.rollout import (
    RolloutBounds,
    RolloutOrder,
    RolloutPhase,
    ServiceRollout,
)
from hornbeamdeck.wire import Rollout

__all__ = ('RolloutBook', 'RolloutEntry')

_LOGGER = structlog.get_logger(prefix='rollout')


class RolloutEntry(NamedTuple):
    """One roll-out.

    :param revision: the store's, at which its order was read first.
    :param stored: the object in the store; `None` if only peers have told of
        it.
    """

    rollout: ServiceRollout
    revision: StoreRevision
    stored: StoredRollout | None


class RolloutBook:
    """All roll-outs by service."""

    def __init__(
        self, bounds: RolloutBounds, wall_clock_ms: Callable[[], int]
    ) -> None:
        """Start without roll-outs.

        :param wall_clock_ms: returns the time of day in Unix milliseconds.
        """
        self.entries: dict[str, RolloutEntry] = {}
        # Services whose order can't be read.
        self.unreadable: set[str] = set()
        self._bounds = bounds
        self._wall_clock_ms = wall_clock_ms

    def apply_list(self, changes: Iterable[RolloutChange], now: float) -> None:
        """Apply all orders that the store holds."""
        listed = list(changes)
        services = {change.service for change in listed}
        for service in (self.entries.keys() | self.unreadable) - services:
            self.apply_change(RolloutChange(service, None), now)
        for change in listed:
            self.apply_change(change, now)

    def apply_change(self, change: RolloutChange, now: float) -> None:
        """Apply one order that was read from the store."""
        service, stored = change
        if stored is None:
            self.unreadable.discard(service)
            self._withdraw(service)
        elif stored.order is None:
            self.unreadable.add(service)
            _LOGGER.warning('unreadable order ignored', service=service)
        else:
            self.unreadable.discard(service)
            self._apply_order(stored, stored.order, now)

    def merge(self, reported: Iterable[Rollout], now: float) -> None:
        """Apply what a peer knows."""
        for each in reported:
            self._merge(each, now)

    def to_wire(self, now: float) -> list[Rollout]:
        """Build what a peer is told."""
        return [
            Rollout(
                cell=service,
                target=entry.rollout.order.target,
                order_id=entry.rollout.order.order_id,
                duration_ms=entry.rollout.order.duration_ms,
                phase=entry.rollout.phase,
                age_ms=max(int(now - entry.rollout.started_ms), 0),
                revision=entry.revision.packed,
            )
            for service, entry in self.entries.items()
        ]

    def drop(self, service: str) -> None:
        """Forget a roll-out that has no effect any more."""
        self.entries.pop(service, None)

    def _apply_order(
        self, stored: StoredRollout, order: RolloutOrder, now: float
    ) -> None:
        entry = self.entries.get(order.service)
        if entry is not None and stored.revision < _newest_revision(entry):
            # A response that was overtaken by a later one.
            return
        if entry is None or entry.rollout.order != order:
            rollout = ServiceRollout(
                order,
                self._bounds,
                started_ms=self._started_ms(stored, now),
                phase=stored.phase or RolloutPhase.CANARY,
            )
            self.entries[order.service] = RolloutEntry(
                rollout, stored.revision, stored
            )
            _LOGGER.info(
                'order taken',
                service=order.service,
                target=order.target,
                duration_ms=order.duration_ms,
                phase=rollout.phase.name.lower(),
            )
            return
        self.entries[order.service] = entry._replace(stored=stored)
        if stored.phase is not None and stored.phase.is_final:
            entry.rollout.adopt(stored.phase)

    def _started_ms(self, stored: StoredRollout, now: float) -> float:
        if not stored.started_unix_ms:
            return now
        age_ms = self._wall_clock_ms() - stored.started_unix_ms
        return now - max(age_ms, 0)

    def _withdraw(self, service: str) -> None:
        entry = self.entries.get(service)
        if entry is None:
            return
        if entry.rollout.phase == RolloutPhase.COMPLETED:
            self.drop(service)
            return
        if entry.stored is not None:
            _LOGGER.warning(
                'order withdrawn',
                service=service,
                target=entry.rollout.order.target,
            )
        entry.rollout.adopt(RolloutPhase.ROLLED_BACK)
        self.entries[service] = entry._replace(stored=None)

    def _merge(self, reported: Rollout, now: float) -> None:
        order = RolloutOrder(
            service=reported.cell,
            target=reported.target,
            duration_ms=reported.duration_ms,
            order_id=reported.order_id,
        )
        phase = RolloutPhase(reported.phase)
        revision = StoreRevision.from_packed(reported.revision)
        entry = self.entries.get(order.service)
        if entry is None or (
            entry.rollout.order != order and revision > entry.revision
        ):
            rollout = ServiceRollout(
                order,
                self._bounds,
                started_ms=now - reported.age_ms,
                phase=phase,
            )
            self.entries[order.service] = RolloutEntry(rollout, revision, None)
            return
        is_settled = (
            entry.stored is not None
            and entry.stored.phase is not None
            and entry.stored.phase.is_final
        )
        if entry.rollout.order == order and not is_settled:
            entry.rollout.adopt(max(phase, entry.rollout.phase))


def _newest_revision(entry: RolloutEntry) -> StoreRevision:
    return entry.stored.revision if entry.stored else entry.revision
