"""What this process knows of all roll-outs, and of versions not known yet.

It learns of them from the store and from peers, in any order and repeatedly. A
roll-out never returns to an earlier phase, and a final phase that the store
holds outweighs every other.

A store that was restored from an older copy has lost the newest orders until
the operators write them again. Such an order goes on where it was.
"""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple, Self

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

# How long an order that a restored store has lost is kept.
LOST_ORDER_RETENTION_MS: Final = 30_000


class RolloutEntry(NamedTuple):
    """One roll-out.

    :param revision: the store's, at which its order was read first.
    :param stored: the object in the store; `None` if only peers have told of
        it, or if the store has lost it.
    :param lost_ms: when a restored store did not hold it first; `None`: it is
        not lost.
    :param has_begun: whether the fleet has begun it in an earlier era.
    """

    rollout: ServiceRollout
    revision: StoreRevision
    stored: StoredRollout | None
    lost_ms: float | None = None
    has_begun: bool = False

    @property
    def newest_revision(self) -> StoreRevision:
        """The revision of its last change that is known here."""
        return self.stored.revision if self.stored else self.revision

    def is_same(self, order: RolloutOrder, era: int) -> bool:
        """Return whether an order read in an era is the one that is held.

        Whoever writes a lost order again creates a new object in the store.
        """
        held = self.rollout.order
        is_restored = era != self.newest_revision.era
        return held == order or (is_restored and held.target == order.target)

    def go_on(self, order: RolloutOrder, revision: StoreRevision) -> Self:
        """Return the entry of the order as it is read in a later era."""
        if revision.era <= self.newest_revision.era:
            return self
        self.rollout.order = order
        return self._replace(
            revision=revision, stored=None, lost_ms=None, has_begun=True
        )


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

    def apply_list(
        self, changes: Iterable[RolloutChange], now: float, *, era: int = 0
    ) -> None:
        """Apply all orders that the store holds.

        :param era: of the store when they were read.
        """
        listed = list(changes)
        services = {change.service for change in listed}
        for service in (self.entries.keys() | self.unreadable) - services:
            if not self._keep_lost(service, era, now):
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
                revision=entry.revision.number,
                era=entry.revision.era,
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
        if entry is not None and stored.revision < entry.newest_revision:
            # A response that was overtaken by a later one.
            return
        if entry is None or not entry.is_same(order, stored.revision.era):
            if self._is_of_copy(entry, stored, now):
                return
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
        entry = entry.go_on(order, stored.revision)
        self.entries[order.service] = entry._replace(
            stored=stored, lost_ms=None
        )
        if stored.phase is not None and stored.phase.is_final:
            entry.rollout.adopt(stored.phase)

    def _started_ms(self, stored: StoredRollout, now: float) -> float:
        if not stored.started_unix_ms:
            return now
        age_ms = self._wall_clock_ms() - stored.started_unix_ms
        return now - max(age_ms, 0)

    def _is_of_copy(
        self, entry: RolloutEntry | None, stored: StoredRollout, now: float
    ) -> bool:
        """Return whether an order is listed since a newer one was lost.

        The fleet has given it its status before it began the newer one.
        """
        if entry is None or stored.phase is None:
            return False
        age_ms = int(now - entry.rollout.started_ms)
        if stored.started_unix_ms >= self._wall_clock_ms() - age_ms:
            return False
        service = entry.rollout.order.service
        return self._keep_lost(service, stored.revision.era, now)

    def _keep_lost(self, service: str, era: int, now: float) -> bool:
        """Keep an order that the store holds no more since it was restored.

        :returns: whether it is kept.
        """
        entry = self.entries.get(service)
        if entry is None or entry.newest_revision.era >= era:
            return False
        if entry.lost_ms is None:
            _LOGGER.warning(
                'order lost', service=service, target=entry.rollout.order.target
            )
        lost_ms = now if entry.lost_ms is None else entry.lost_ms
        self.entries[service] = entry._replace(stored=None, lost_ms=lost_ms)
        return now - lost_ms <= LOST_ORDER_RETENTION_MS

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
        revision = StoreRevision(reported.era or 0, reported.revision)
        entry = self.entries.get(order.service)
        is_same = entry is not None and entry.is_same(order, revision.era)
        if entry is None or (not is_same and revision > entry.revision):
            rollout = ServiceRollout(
                order,
                self._bounds,
                started_ms=now - reported.age_ms,
                phase=phase,
            )
            self.entries[order.service] = RolloutEntry(rollout, revision, None)
            return
        if is_same:
            entry = entry.go_on(order, revision)
            self.entries[order.service] = entry
        is_settled = (
            entry.stored is not None
            and entry.stored.phase is not None
            and entry.stored.phase.is_final
        )
        if is_same and not is_settled:
            entry.rollout.adopt(max(phase, entry.rollout.phase))
