"""The cells that this process owns, and the handling of messages to them."""

from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Final, TypeAlias

import structlog
from curio import Event, sleep, spawn

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.request.refusal import spread_retry_ms
from hornbeamdeck.scheduling.cell import Cell, Refused
from hornbeamdeck.scheduling.engine_cell import (
    EngineCell,
    record_engine_end,
)
from hornbeamdeck.scheduling.engine_crash_tracker import POISON_CRASHES
from hornbeamdeck.scheduling.queued_request import Deliver, instance_of
from hornbeamdeck.scheduling.stream_origins import (
    OriginQuestion,
    VersionQuestion,
)
from hornbeamdeck.version.configuration import Configuration
from hornbeamdeck.wire import (
    EngineObservation,
    Enqueue,
    Grant,
    Progress,
    RefusalReason,
    Refuse,
    Register,
    Release,
    StreamOrigins,
    Suspect,
    ToOwner,
    UpstreamEnd,
    Withdraw,
)

__all__ = ('AsyncRequest', 'CheckIncarnation', 'Scheduler')

_LOGGER = structlog.get_logger(prefix='scheduler')

EXPIRY_CHECK_INTERVAL_MS: Final = 25

AnyCell: TypeAlias = Cell | EngineCell
# Takes a grant and a time. Returns whether its engine ran the granted
# incarnation then, after asking the engine if that is needed; `None`: this is
# not known.
CheckIncarnation: TypeAlias = Callable[
    [Grant, float], Coroutine[Any, Any, bool | None]
]
AsyncRequest: TypeAlias = Callable[[], Coroutine[Any, Any, None]]


class Scheduler:
    """Handles messages of ingress instances to the cells owned here.

    It acts as owner of a cell for every ingress that sends it messages. While
    views of the membership differ, a cell may have two owners for a moment, and
    each grants by its own view. This may queue requests at an engine but breaks
    no guarantee.
    """

    def __init__(self) -> None:
        """Start without cells; `apply_configuration` adds them."""
        self.cells: dict[str, AnyCell] = {}
        self._draining: frozenset[str] = frozenset()
        # How to reach the instances that this process grants for, by sender.
        self._ingresses: dict[str, Deliver] = {}
        self._has_waiting = Event()
        self._is_closed = False
        # Set when streams were granted or have begun. Whoever waits for it
        # clears it.
        self.has_new_origins = Event()
        self._async_check_incarnation: CheckIncarnation | None = None
        self._async_request_confirmation: AsyncRequest | None = None
        self._async_request_records: AsyncRequest | None = None

    def set_incarnation_check(self, check: CheckIncarnation) -> None:
        """Set how engines are asked for the start of their incarnation."""
        self._async_check_incarnation = check

    def set_version_requests(
        self, *, confirm: AsyncRequest, record: AsyncRequest
    ) -> None:
        """Set how versions are confirmed and recorded.

        :param confirm: has the store asked which versions served.
        :param record: has the store told what has changed.
        """
        self._async_request_confirmation = confirm
        self._async_request_records = record

    def close(self) -> None:
        """Grant nothing more, since this process ends.

        It closes its connections one after another. The runs of those that are
        closed go on at the upstreams until their ingresses say otherwise.
        """
        self._is_closed = True

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration; each service has one cell today."""
        weights = {
            team.name: team.weight
            for team in configuration.teams_by_key.values()
        }
        ranks = [tier.rank for tier in configuration.tiers.values()]
        for service in configuration.services:
            cell = self.cells.get(service)
            if not isinstance(cell, Cell):
                cell = Cell()
                self.cells[service] = cell
            cell.apply_configuration(
                configuration.upstreams_of(service),
                weights=weights,
                top_rank=min(ranks, default=0),
            )
        for removed in self.cells.keys() - configuration.services.keys():
            self.cells.pop(removed)
        self.update_draining(self._draining)

    def update_draining(self, addresses: Iterable[str]) -> None:
        """Grant no more requests to the upstreams at these addresses."""
        self._draining = frozenset(addresses)
        plain_cells = (
            each for each in self.cells.values() if isinstance(each, Cell)
        )
        for cell in plain_cells:
            for load in cell.loads.values():
                address = str(load.upstream.address)
                load.is_draining = address in self._draining

    async def async_receive(
        self,
        message: ToOwner,
        *,
        sender: str,
        deliver: Deliver,
    ) -> None:
        """Handle one message from an ingress.

        :param sender: identifies the connection that the message came by.
        :param deliver: sends a response on that connection.
        """
        self._ingresses[sender] = deliver
        cell = self.cells.get(message.cell)
        if cell is None:
            await self._async_no_cell(message, deliver)
            return
        match message:
            case Enqueue():
                await self._async_enqueue(cell, message, sender, deliver)
            case Withdraw():
                cell.withdraw(message.request_id)
            case Register():
                _register(cell, message, sender)
            case Progress():
                cell.progress(message, now_ms())
                await self.has_new_origins.set()
                await self._async_record_unlisted(message.is_certain)
            case Release() | UpstreamEnd():
                for suspect in _record_end(cell, message):
                    await self._async_report_suspect(suspect, deliver)
            case EngineObservation() | StreamOrigins():
                _apply_report(cell, message, sender)
            case Suspect():
                cell.crash_tracker.merge_crash_count(
                    message.fingerprint,
                    message.crashes,
                    now_ms(),
                )
        await self._async_grant(cell)

    def apply_limits(
        self, limits: Iterable[EngineObservation], sender: str
    ) -> None:
        """Apply the limits of engines that an owner knows."""
        for limit in limits:
            cell = self.cells.get(limit.cell)
            if cell is not None:
                _apply_report(cell, limit, sender)

    async def async_evaluate_cells(self) -> None:
        """Evaluate all cells again after a change to their data."""
        for cell in tuple(self.cells.values()):
            await self._async_grant(cell)

    async def async_drop_sender(self, sender: str) -> None:
        """Remove all requests and runs of a closed connection."""
        self._ingresses.pop(sender, None)
        for cell in self.cells.values():
            cell.remove_sender(sender)
            await self._async_grant(cell)

    async def async_refuse_expired(self) -> None:
        """Periodically refuse requests that can no longer end in time.

        Evaluating grants alone is not enough: while long responses occupy all
        slots, a request past its deadline would wait on without a final
        response.
        """
        while True:
            if not any(map(len, self.cells.values())):
                self._has_waiting.clear()
                await self._has_waiting.wait()
            await sleep(EXPIRY_CHECK_INTERVAL_MS / MILLIS_PER_SECOND)
            await self.async_evaluate_cells()

    async def _async_report_suspect(
        self, suspect: Suspect, deliver: Deliver
    ) -> None:
        """Report a suspected request, so that it outlasts this process.

        Every instance learns which request is refused, since any of them may
        become the owner.
        """
        if suspect.crashes < POISON_CRASHES:
            await deliver(suspect)
            return
        for deliver_to_ingress in tuple(self._ingresses.values()):
            await deliver_to_ingress(suspect)

    async def _async_enqueue(
        self,
        cell: AnyCell,
        request: Enqueue,
        sender: str,
        deliver: Deliver,
    ) -> None:
        refused = cell.enqueue(
            request,
            sender=sender,
            deliver=deliver,
            now=now_ms(),
        )
        if isinstance(cell, EngineCell) and request.resumes is not None:
            _LOGGER.info(
                'stream taken up',
                request_id=request.request_id,
                cell=request.cell,
                **cell.origins.describe(request, now_ms()),
            )
        if refused is not None:
            await _async_refuse(refused)
        elif isinstance(cell, EngineCell):
            await self._async_start_question(cell, request)
        await self._has_waiting.set()

    async def _async_start_question(
        self, cell: EngineCell, request: Enqueue
    ) -> None:
        """Ask for the origin of a waiting request's stream in the background.

        Its engine is asked, or the store if nobody knows the engine.
        """
        question = cell.origins.question(request, now_ms())
        if isinstance(question, VersionQuestion):
            if self._async_request_confirmation is not None:
                await self._async_request_confirmation()
            return
        check = self._async_check_incarnation
        if question is None or check is None:
            return
        grant = _to_grant(request, question)

        async def _async_check() -> None:
            is_certain = await check(grant, question.begun_ms)
            cell.origins.record_first_event(
                grant.request_id, None, now_ms(), is_certain=is_certain
            )
            await self._async_record_unlisted(is_certain)
            await self._async_grant(cell)

        await spawn(_async_check, daemon=True)

    async def _async_record_unlisted(
        self,
        is_certain: bool | None,  # noqa: FBT001
    ) -> None:
        """Record at once that a version may serve that was never listed.

        Until then, what the store holds tells others that it names all.
        """
        if is_certain is False and self._async_request_records is not None:
            await self._async_request_records()

    async def _async_grant(self, cell: AnyCell) -> None:
        if self._is_closed:
            return
        now = now_ms()
        refusals = [*cell.refuse_expired(now), *cell.shed()]
        granted = list(cell.place_waiting(now))
        for refused in refusals:
            await _async_refuse(refused)
        if granted:
            await self.has_new_origins.set()
        for grant in granted:
            request = grant.queued.request
            if isinstance(cell, EngineCell) and request.dispatches:
                _log_retry(cell, request, now)
            if grant.hold_reason:
                _LOGGER.info(
                    'request was held back',
                    request_id=request.request_id,
                    cell=request.cell,
                    held_for=grant.hold_reason,
                    engine=grant.upstream,
                    prompt_tokens=request.prompt_tokens,
                )
            await grant.queued.deliver(
                Grant(
                    request_id=request.request_id,
                    cell=request.cell,
                    upstream=grant.upstream,
                    address=grant.address,
                    version=grant.version,
                    born_ms=grant.born_ms,
                    limit_per_s=grant.limit_per_s,
                    rejection_limit_per_s=grant.rejection_limit_per_s,
                    relays=list(grant.relays) or None,
                ),
            )

    async def _async_no_cell(self, message: ToOwner, deliver: Deliver) -> None:
        if not isinstance(message, Enqueue):
            return
        _LOGGER.info('unknown cell requested', cell=message.cell)
        refusal = Refuse(
            request_id=message.request_id,
            reason=RefusalReason.UNKNOWN_CELL,
            retry_after_ms=spread_retry_ms(message.fingerprint),
        )
        await deliver(refusal)


def _to_grant(request: Enqueue, question: OriginQuestion) -> Grant:
    """Return the grant by which a stream's engine was named."""
    engine = question.engine
    return Grant(
        request_id=request.resumes,
        cell=request.cell,
        upstream=engine.name,
        address=engine.address,
        version=engine.version,
        born_ms=engine.born_ms,
    )


def _log_retry(cell: EngineCell, request: Enqueue, now: float) -> None:
    _LOGGER.info(
        'retry granted',
        request_id=request.request_id,
        cell=request.cell,
        dispatches=request.dispatches,
        **cell.retry_budget.counts(now)._asdict(),
    )


def _register(cell: AnyCell, run: Register, sender: str) -> None:
    cell.register(run, sender)
    if isinstance(cell, EngineCell) and not run.is_prefilling:
        parts = cell.crash_tracker.parts
        parts.record_answer(run.shared_parts or (), now_ms())


def _record_end(cell: AnyCell, message: Release | UpstreamEnd) -> list[Suspect]:
    """Record that a run or an upstream has ended.

    :returns: the requests that are now suspected of crashing an upstream.
    """
    suspects: list[Suspect] = []
    if isinstance(message, Release):
        suspects = cell.release(message, now_ms())
    elif isinstance(cell, EngineCell):
        suspects = record_engine_end(cell, message, now_ms())
    for suspect in suspects:
        _LOGGER.info(
            'crash counted',
            cell=suspect.cell,
            fingerprint=suspect.fingerprint,
            crashes=suspect.crashes,
            evidence=type(message).__name__,
        )
    return suspects


def _apply_report(
    cell: AnyCell, message: EngineObservation | StreamOrigins, sender: str
) -> None:
    if isinstance(cell, Cell):
        return
    if isinstance(message, StreamOrigins):
        cell.origins.merge(message.origins, instance_of(sender), now_ms())
    else:
        _apply_observation(cell, message, sender)


def _apply_observation(
    cell: EngineCell, observation: EngineObservation, sender: str
) -> None:
    change = cell.apply_observation(observation, sender, now_ms())
    if change is None:
        return
    if change.limit is not None:
        _LOGGER.info(
            'request limit changed',
            cell=observation.cell,
            engine=observation.upstream,
            per_s=observation.per_s,
            previous_per_s=change.limit.previous_per_s,
            recent_grants=change.limit.recent_grants,
            age_ms=observation.age_ms,
        )
    if change.is_brittleness_changed:
        _LOGGER.info(
            'rejection limit changed',
            cell=observation.cell,
            engine=observation.upstream,
            per_s=observation.rejection_limit_per_s,
            age_ms=observation.age_ms,
        )
    if change.is_leaving:
        _LOGGER.info(
            'engine leaves',
            cell=observation.cell,
            engine=observation.upstream,
        )
    if change.rest_ms:
        _LOGGER.info(
            'engine rests',
            cell=observation.cell,
            engine=observation.upstream,
            instance=instance_of(sender),
            rest_ms=change.rest_ms,
        )


async def _async_refuse(refused: Refused) -> None:
    request = refused.queued.request
    _LOGGER.info(
        'request refused',
        request_id=request.request_id,
        cell=request.cell,
        reason=RefusalReason(refused.refusal.reason).name.lower(),
        retry_after_ms=refused.refusal.retry_after_ms,
        **refused.log_fields,
    )
    await refused.queued.deliver(refused.refusal)
