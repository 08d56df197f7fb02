"""Follows the operators' orders and applies them to the cells.

The owner of the fleet's cells reads the orders and decides. While it can't
reach the store, the next instances of the ranking read for it: heartbeats carry
what each of them knows.
"""

from collections.abc import Callable, Mapping
from typing import Final, NamedTuple, Self

import structlog
from curio import sleep
from result import Err, Result

from hornbeamdeck.clock import now_ms, wall_ms
from hornbeamdeck.connection.store_client import StoreUnavailable, WatchGap
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.observability.gateway_metrics import (
    GatewayMetrics,
    RolloutCounts,
)
from hornbeamdeck.rollout.book import RolloutBook
from hornbeamdeck.rollout.status_writer import StatusWriter
from hornbeamdeck.rollout.store_interface import (
    RolloutsRead,
    RolloutStore,
)
from hornbeamdeck.rollout.unknown_versions import UnknownVersions
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.rollout import (
    RolloutBounds,
    RolloutPhase,
    RolloutStep,
    ServiceRollout,
)
from hornbeamdeck.wire import Rollout

__all__ = ('RolloutDependencies', 'Rollouts')

_LOGGER = structlog.get_logger(prefix='rollout')

# How long the store may hold a watch open. A watch that hangs delays an order
# by this time; until it is read, its engines get no requests.
WATCH_TIMEOUT_MS: Final = 2000
# Wait before the next watch, so that several changes come in one response.
WATCH_GAP_MS: Final = 50
# Retry interval while the store does not respond.
RETRY_MS: Final = 300
# Interval of decisions, and of checks whether a read or a write is due.
CHECK_INTERVAL_MS: Final = 100
# Values of the label `version` of the metrics.
LABEL_NEW: Final = 'new'
LABEL_OLD: Final = 'old'
# Interval at which the owner logs the counts of a roll-out.
LOG_INTERVAL_MS: Final = 1000


class RolloutDependencies(NamedTuple):
    """Dependencies of the follower.

    :param cells: the cells of this process by service.
    :param is_owner: whether this process owns the fleet's cells now.
    :param is_reader: whether it is to read and write the store: it is the
        owner, or ranks next to one that can't reach the store.
    """

    store: RolloutStore
    book: RolloutBook
    cells: Mapping[str, EngineCell]
    is_owner: Callable[[], bool]
    is_reader: Callable[[], bool]
    status_writer: StatusWriter
    metrics: GatewayMetrics


class Rollouts:
    """Connects the store's orders with the cells of this process."""

    def __init__(self, dependencies: RolloutDependencies) -> None:
        """Initialize; nothing is read before the `async_` methods run."""
        self._dependencies = dependencies
        self._unknown_versions: dict[str, UnknownVersions] = {}
        self._logged_ms = 0.0

    @classmethod
    def from_bounds(
        cls,
        store: RolloutStore,
        bounds: RolloutBounds,
        cells: Mapping[str, EngineCell],
        metrics: GatewayMetrics,
        is_owner: Callable[[], bool],
        is_reader: Callable[[], bool],
    ) -> Self:
        """Create the follower with a book of its own.

        The parameters are those of `RolloutDependencies`.
        """
        book = RolloutBook(bounds, wall_ms)
        return cls(
            RolloutDependencies(
                store=store,
                book=book,
                cells=cells,
                is_owner=is_owner,
                is_reader=is_reader,
                status_writer=StatusWriter(store, book, is_owner, wall_ms),
                metrics=metrics,
            )
        )

    async def async_write_status(self) -> None:
        """Write each status that is due; never returns."""
        await self._dependencies.status_writer.async_run(
            self._dependencies.is_reader
        )

    async def async_follow_orders(self) -> None:
        """Keep the orders current; never returns."""
        revision: StoreRevision | None = None
        while True:
            if not self._dependencies.is_reader():
                revision = None
                await sleep(CHECK_INTERVAL_MS / MILLIS_PER_SECOND)
                continue
            revision = await self._async_read(revision)
            wait_ms = RETRY_MS if revision is None else WATCH_GAP_MS
            await sleep(wait_ms / MILLIS_PER_SECOND)

    async def async_confirm_versions(self) -> None:
        """Read the orders when a new version is listed; never returns.

        A watch that waits for the next change confirms a version only when it
        ends, and engines that a release has replaced can't wait for that.
        """
        while True:
            if self._dependencies.is_reader() and self._is_any_unknown():
                await self._async_read(None)
            await sleep(CHECK_INTERVAL_MS / MILLIS_PER_SECOND)

    async def async_decide(self) -> None:
        """Advance the roll-outs where this process decides; never returns."""
        while True:
            await sleep(CHECK_INTERVAL_MS / MILLIS_PER_SECOND)
            if self._dependencies.is_owner():
                self._advance()

    def phase_of(self, service: str) -> RolloutPhase | None:
        """Return the phase of a service's roll-out, `None` if there is none."""
        entry = self._dependencies.book.entries.get(service)
        return entry.rollout.phase if entry else None

    def is_rolled_back(self, service: str, version: str) -> bool:
        """Return whether a version of a service has been rolled back."""
        entry = self._dependencies.book.entries.get(service)
        if entry is None or entry.rollout.order.target != version:
            return False
        return entry.rollout.phase == RolloutPhase.ROLLED_BACK

    def merge(self, reported: list[Rollout]) -> None:
        """Apply what a peer knows."""
        self._dependencies.book.merge(reported, now_ms())
        self.apply()

    def to_wire(self) -> list[Rollout]:
        """Build what a peer is told."""
        return self._dependencies.book.to_wire(now_ms())

    def apply(self) -> None:
        """Make the cells use what is known of the roll-outs now."""
        now = now_ms()
        book = self._dependencies.book
        for service, cell in self._dependencies.cells.items():
            versions = self._unknown_versions.setdefault(
                service, UnknownVersions()
            )
            versions.record(
                {load.engine.version for load in cell.loads.values()}, now
            )
            entry = book.entries.get(service)
            rollout = entry.rollout if entry else None
            cell.versions.rollout = rollout
            held = versions.unknown()
            if rollout is not None:
                held -= {rollout.order.target}
                rollout.update_engines(cell.loads.values())
            cell.versions.hold(held)

    def _is_any_unknown(self) -> bool:
        return any(each.unknown() for each in self._unknown_versions.values())

    async def _async_read(
        self, since: StoreRevision | None
    ) -> StoreRevision | None:
        """List the orders, or watch for changes after a revision.

        :returns: the revision to watch from; `None` if the store did not
            respond.
        """
        requested_ms = now_ms()
        store = self._dependencies.store
        response: Result[RolloutsRead, StoreUnavailable | WatchGap]
        if since is None:
            response = await store.list_rollouts()
        else:
            response = await store.watch_rollouts(since, WATCH_TIMEOUT_MS)
        if isinstance(response, Err):
            return None
        self._apply_read(response.ok_value, is_complete=since is None)
        for service, versions in self._unknown_versions.items():
            if service not in self._dependencies.book.unreadable:
                versions.confirm(requested_ms)
        self.apply()
        return response.ok_value.revision

    def _apply_read(self, read: RolloutsRead, *, is_complete: bool) -> None:
        book = self._dependencies.book
        if is_complete:
            book.apply_list(read.changes, now_ms(), era=read.revision.era)
            return
        for change in read.changes:
            book.apply_change(change, now_ms())

    def _advance(self) -> None:
        self.apply()
        now = now_ms()
        is_log_due = now - self._logged_ms >= LOG_INTERVAL_MS
        if is_log_due:
            self._logged_ms = now
        for cell in self._dependencies.cells.values():
            rollout = cell.versions.rollout
            if rollout is not None and not rollout.phase.is_final:
                step = _advance(rollout, cell, now, is_log_due=is_log_due)
                self._dependencies.metrics.rollouts[rollout.order.service] = (
                    _to_counts(step)
                )


def _advance(
    rollout: ServiceRollout, cell: EngineCell, now: float, *, is_log_due: bool
) -> RolloutStep:
    loads = cell.loads.values()
    step = rollout.advance(loads, now)
    if step is not None:
        _log_step('phase changed', rollout, step, now)
        return step
    current = rollout.describe(loads, now)
    if is_log_due:
        _log_step('progress', rollout, current, now)
    return current


def _to_counts(step: RolloutStep) -> RolloutCounts:
    verdict = step.verdict
    return RolloutCounts(
        phase=step.phase,
        requests={
            LABEL_NEW: step.granted_new,
            LABEL_OLD: step.granted - step.granted_new,
        },
        bad_answers={
            LABEL_NEW: verdict.answers.new_bad + verdict.slow.new_bad,
            LABEL_OLD: verdict.answers.old_bad + verdict.slow.old_bad,
        },
    )


def _log_step(
    event: str, rollout: ServiceRollout, step: RolloutStep, now: float
) -> None:
    order = rollout.order
    verdict = step.verdict
    _LOGGER.info(
        event,
        service=order.service,
        target=order.target,
        phase=step.phase.name.lower(),
        cause=step.reason,
        unproved=verdict.unproved,
        elapsed_ms=int(now - rollout.started_ms),
        duration_ms=order.duration_ms,
        new_answers=verdict.answers.new,
        new_failures=verdict.answers.new_bad,
        new_slow=verdict.slow.new_bad,
        old_answers=verdict.answers.old,
        old_failures=verdict.answers.old_bad,
        old_slow=verdict.slow.old_bad,
        granted=step.granted,
        granted_new=step.granted_new,
        old_runs=step.old_runs,
    )
