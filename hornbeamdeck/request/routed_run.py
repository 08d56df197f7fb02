"""Gets one admitted request to an engine and its answer to the caller."""

from http import HTTPStatus
from typing import Final, NamedTuple

import structlog
from curio.errors import TaskTimeout
from result import Err, Result

from hornbeamdeck.clock import async_within, now_ms
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.request.outcome import Failure, NotRun, Unknown
from hornbeamdeck.request.refusal import deadline_passed
from hornbeamdeck.request.routed_admission import (
    PATIENCE_GAPS,
    RoutedAdmission,
    is_still_allowed,
)
from hornbeamdeck.request.routed_call import EngineCall
from hornbeamdeck.request.routed_edge import Edge
from hornbeamdeck.wire import Enqueue, Grant, RunEnd

__all__ = ('async_run_routed',)

_LOGGER = structlog.get_logger(prefix='request')

# After these the request has not run, so another engine may get it.
_NOT_RUN: Final = frozenset(
    (RunEnd.NOT_DISPATCHED, RunEnd.REJECTED, RunEnd.MISDIRECTED),
)
# After these a request that may repeat is tried again.
_REPEATABLE: Final = frozenset((RunEnd.FAILED, RunEnd.ERRORED))
FINGERPRINT_CHARS: Final = 16
# A proof that was never had is shown as this old.
MAX_SHOWN_MS: Final = 1_000_000


class _Tries(NamedTuple):
    """What became of a request so far.

    :param arrivals: engines that its bytes have reached.
    :param runs: engines that may have worked on it.
    """

    excluded: tuple[str, ...] = ()
    arrivals: int = 0
    runs: int = 0


async def async_run_routed(
    edge: Edge,
    admission: RoutedAdmission,
    caller: ServerConnection,
) -> None:
    """Answer a request; every way out gives the caller one final word."""
    run = RoutedRun(edge, admission, caller)
    failure: Failure | None = None
    try:
        failure = await async_within(admission.left_ms, run.async_run())
    except TaskTimeout:
        failure = run.too_late()
    except BaseException:
        run.log('caller left', code='caller_left')
        raise
    if failure is not None:
        await run.async_fail(failure)


class RoutedRun:
    """One request from its admission to its last byte."""

    def __init__(
        self,
        edge: Edge,
        admission: RoutedAdmission,
        caller: ServerConnection,
    ) -> None:
        """Begin before anything is asked for."""
        self._edge = edge
        self._admission = admission
        self._caller = caller
        self._tries = _Tries()
        self._call = EngineCall(edge, admission, caller)
        self._engine = ''
        self._waited_ms = 0.0

    async def async_run(self) -> Failure | None:
        """Try engines until one has answered or none may be tried.

        :returns: what the caller is still to be told; `None`: it has its
            answer.
        """
        while True:
            granted = await self._async_grant()
            if isinstance(granted, Err):
                return await self._async_refused(granted.err_value)
            upstream = granted.ok_value.upstream
            if not await self._edge.proofs.async_may_send(upstream):
                await self._async_give_back(upstream)
                continue
            end = await self._async_dispatch(granted.ok_value)
            if not self._may_go_on(end):
                return await self._async_conclude(end)

    def too_late(self) -> Failure:
        """Say that the time for an answer is over."""
        if self._tries.runs or self._call.is_sent:
            return Unknown(
                HTTPStatus.GATEWAY_TIMEOUT,
                'deadline_passed',
                'the time ran out after the request was sent to an engine',
            )
        return deadline_passed()

    async def async_fail(self, failure: Failure) -> None:
        """Tell the caller of a failure, on its connection or by breaking it."""
        self.log('request failed', code=failure.code)
        if self._caller.has_started:
            # Half an answer is on the wire; only a broken connection says so.
            self._caller.abort()
            return
        request_id = self._admission.ask.request_id
        response = self._edge.dialect.refusal(failure, request_id)
        await self._caller.async_respond(response)

    def log(self, event: str, *, code: str = 'answered') -> None:
        """Write the one line that says how a request ended and on what."""
        admission = self._admission
        edge = self._edge
        total_ms = now_ms() - admission.arrived_ms
        edge.metrics.ended(admission.service, admission.rank, code, total_ms)
        _LOGGER.info(
            event,
            request_id=admission.ask.request_id,
            code=code,
            route=admission.route.name,
            kind=admission.route.kind.value,
            priority=admission.route.priority,
            team=admission.team_name,
            rank=admission.rank,
            service=admission.service,
            engine=self._engine,
            prompt_tokens=admission.ask.prompt_tokens,
            output_tokens=admission.ask.output_tokens,
            expected_tokens=admission.ask.expected_tokens,
            waited_ms=int(self._waited_ms),
            first_ms=int(self._call.first_ms),
            begun_ms=int(self._call.begun_ms),
            longest_gap_ms=int(self._call.longest_gap_ms),
            objective_ms=admission.route.objective_ms,
            gap_ms=admission.route.gap_ms,
            total_ms=int(total_ms),
            tries=self._tries.arrivals,
            last_event=self._call.last_event,
            configuration_version=edge.configuration().version,
            newest_version=edge.proofs.newest_version,
            proof_age_ms=_shown(edge.proofs.configuration_age_ms()),
            engines_age_ms=_shown(edge.proofs.engines_age_ms()),
        )

    async def _async_grant(self) -> Result[Grant, NotRun]:
        admission = self._admission
        asked_ms = now_ms()
        granted = await self._edge.acquire(self._enqueue())
        self._waited_ms += now_ms() - asked_ms
        if isinstance(granted, Err):
            return granted
        allowed = is_still_allowed(
            self._edge.configuration(),
            admission,
            has_keys=self._edge.proofs.has_keys(),
        )
        if isinstance(allowed, Err):
            request_id = admission.ask.request_id
            await self._edge.release(request_id, RunEnd.CANCELLED, 0, 0)
            return allowed
        if not self._tries.excluded and admission.team is not None:
            self._edge.spend(admission.team_name, admission.quota_tokens)
        return granted

    async def _async_give_back(self, engine: str) -> None:
        """Give a grant back for an engine that has left meanwhile."""
        request_id = self._admission.ask.request_id
        _LOGGER.info(
            'grant given back',
            request_id=request_id,
            engine=engine,
            cause='the engine leaves or has left',
            engines_age_ms=_shown(self._edge.proofs.engines_age_ms()),
        )
        await self._edge.release(request_id, RunEnd.CANCELLED, 0, 0)
        excluded = (*self._tries.excluded, engine)
        self._tries = self._tries._replace(excluded=excluded)

    async def _async_dispatch(self, grant: Grant) -> RunEnd:
        self._engine = grant.upstream
        granted_ms = now_ms()
        end = RunEnd.CANCELLED
        try:
            end = await self._call.async_run(grant)
        finally:
            await self._call.async_close(end)
            await self._edge.release(
                self._admission.ask.request_id,
                end,
                now_ms() - granted_ms,
                self._gap_of_one_engine_ms(),
            )
        tries = self._tries
        if end != RunEnd.ANSWERED:
            _LOGGER.info(
                'try ended',
                request_id=self._admission.ask.request_id,
                engine=grant.upstream,
                end=end.name.lower(),
                cause=self._call.cause,
                took_ms=int(now_ms() - granted_ms),
            )
        self._tries = _Tries(
            excluded=(*tries.excluded, grant.upstream),
            arrivals=tries.arrivals + (end != RunEnd.NOT_DISPATCHED),
            runs=tries.runs + (end not in _NOT_RUN),
        )
        return end

    def _gap_of_one_engine_ms(self) -> float:
        """Tell the longest pause in the stream; 0 where two engines made it.

        The pause in which the second took over tells nothing of either.
        """
        return 0 if self._tries.runs else self._call.longest_gap_ms

    def _may_go_on(self, end: RunEnd) -> bool:
        if end in _NOT_RUN:
            return True
        if end not in _REPEATABLE:
            return False
        route = self._admission.route
        if not route.may_repeat or self._tries.runs >= route.max_dispatches:
            return False
        return not self._caller.has_started or route.is_resumable

    async def _async_refused(self, refusal: NotRun) -> Failure | None:
        if not self._tries.runs:
            return refusal
        if self._call.answer is not None:
            return await self._async_conclude(RunEnd.ERRORED)
        # An engine may have run it, so it can't be called refused.
        return Unknown(
            HTTPStatus.BAD_GATEWAY,
            refusal.code,
            'an engine failed and no other could be tried',
            refusal.retry_after_ms,
        )

    async def _async_conclude(self, end: RunEnd) -> Failure | None:
        answer = self._call.answer
        if end == RunEnd.ANSWERED or answer is not None:
            self.log('request answered')
            if answer is not None:
                await self._caller.async_respond(answer)
            return None
        return Unknown(
            HTTPStatus.BAD_GATEWAY,
            'engine_broken',
            'the engine broke after the request was sent to it',
        )

    def _objective_left_ms(self) -> int:
        if self._caller.has_started:
            return self._admission.route.gap_ms
        return self._admission.objective_left_ms

    def _patience_left_ms(self) -> int:
        if self._caller.has_started:
            patience_ms = PATIENCE_GAPS * self._admission.route.gap_ms
            return min(patience_ms, self._admission.left_ms)
        return self._admission.patience_left_ms

    def _enqueue(self) -> Enqueue:
        admission = self._admission
        ask = admission.ask
        return Enqueue(
            request_id=ask.request_id,
            cell=admission.service,
            team=admission.team_name,
            tier_rank=admission.rank,
            deadline_ms=admission.left_ms,
            prompt_tokens=ask.prompt_tokens,
            output_tokens=ask.expected_tokens or ask.output_tokens,
            excluded=list(self._tries.excluded),
            fingerprint=self._call.fingerprint[:FINGERPRINT_CHARS],
            objective_ms=self._objective_left_ms(),
            patience_ms=self._patience_left_ms(),
            gap_ms=admission.route.gap_ms,
            quota_tokens=admission.quota_tokens,
            dispatches=self._tries.arrivals,
            zone=self._edge.zone,
            route_rank=admission.rank_in_team,
        )


def _shown(age_ms: float) -> int:
    return int(min(age_ms, MAX_SHOWN_MS))
