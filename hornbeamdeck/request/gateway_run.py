"""Sends an admitted request to engines and the response to the caller."""

from http import HTTPStatus
from typing import Final

import structlog
from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.observability.logs import age_for_log
from hornbeamdeck.request.attempts import Attempts
from hornbeamdeck.request.engine_attempts import EngineAttempts
from hornbeamdeck.request.gateway_admission import (
    GatewayAdmission,
    recheck_key,
)
from hornbeamdeck.request.gateway_context import GatewayContext
from hornbeamdeck.request.gateway_request import RunSummary, WithholdReason
from hornbeamdeck.request.outcome import Failure, NotRun, Unknown
from hornbeamdeck.request.queue_request import make_enqueue
from hornbeamdeck.request.refusal import (
    deadline_passed,
    engines_unreachable,
    instance_stops,
)
from hornbeamdeck.request.request_log import (
    admission_fields,
    attempt_fields,
    freshness_fields,
    log_ended_try,
)
from hornbeamdeck.request.response_delivery import ResponseDelivery
from hornbeamdeck.wire import Grant, RunEnd

__all__ = ('GatewayRun',)

_LOGGER = structlog.get_logger(prefix='request')

# Not part of any request id, since no header may contain it.
SUCCESSOR_SUFFIX: Final = '\x1fsuccessor'


class GatewayRun:
    """Runs one request from its admission to the last byte of its response."""

    def __init__(
        self,
        context: GatewayContext,
        admission: GatewayAdmission,
        caller: ServerConnection,
        delivery: ResponseDelivery,
    ) -> None:
        """Initialize; no grant has been requested yet."""
        self._context = context
        self._admission = admission
        self._caller = caller
        self._delivery = delivery
        self._attempts = Attempts()
        self._engine_attempts = EngineAttempts(context, admission, caller)
        self._engine = ''
        self._version = ''
        self._waited_ms = 0.0
        # Another engine that was granted while the current one is silent.
        self._successor: Grant | None = None
        self._return_tokens = context.record_granted_tokens('', 0)

    async def async_run(self) -> Failure | None:
        """Send the request to engines until one answers or none is allowed.

        :returns: the failure that the caller is still to get; `None` if its
            response is complete. The caller may not have read all of it yet.
        """
        try:
            return await self._async_run_attempts()
        finally:
            # A grant that was not used yet would hold its slot for as long as
            # this process runs. One that was released before stays released.
            await self._async_release()
            if self._successor is not None:
                await self._async_release(self._successor.request_id)

    def timeout_failure(self) -> Failure:
        """Make the failure of a request whose time limit has passed."""
        if (
            self._attempts.possible_runs
            or self._engine_attempts.is_possibly_executing
        ):
            return Unknown(
                HTTPStatus.GATEWAY_TIMEOUT,
                'deadline_passed',
                'the time ran out after the request was sent to an engine',
            )
        return deadline_passed(self._engine_attempts.fingerprint)

    async def async_fail(self, failure: Failure) -> None:
        """Report a failure to the caller, by a response if none has started."""
        self.log('request failed', code=failure.code)
        if self._caller.has_response_started:
            # Part of a response has been sent, so only a broken connection can
            # still signal the failure.
            self._caller.reset_on_close()
            return
        request_id = self._admission.request.request_id
        response = self._context.dialect.failure_response(failure, request_id)
        await self._caller.async_respond(response)

    def log(self, event: str, *, code: str = 'answered') -> None:
        """Count a request and log how it ended, with what it was based on."""
        admission = self._admission
        context = self._context
        total_ms = now_ms() - admission.arrived_ms
        context.metrics.count_request(
            admission.service, admission.rank, code, total_ms
        )
        _LOGGER.info(
            event,
            code=code,
            **admission_fields(admission),
            engine=self._engine,
            engine_version=self._version,
            waited_ms=int(self._waited_ms),
            **attempt_fields(self._engine_attempts),
            total_ms=int(total_ms),
            tries=self._attempts.engines_reached,
            **freshness_fields(context),
        )

    async def _async_run_attempts(self) -> Failure | None:
        while True:
            successor = self._successor
            self._successor = None
            granted = Ok(successor) if successor else await self._async_grant()
            if isinstance(granted, Err):
                return await self._async_handle_refusal(granted.err_value)
            end = await self._async_use(granted.ok_value)
            if end is not None and not self._may_use_another_engine(end):
                return await self._async_finish(end)
            if not await self._engine_attempts.evidence.async_may_go_on():
                return _uncertain_version()

    async def _async_grant(self, suffix: str = '') -> Result[Grant, NotRun]:
        """Wait for a grant.

        :param suffix: tells the grant apart from another one that is in use.
        """
        admission = self._admission
        requested_ms = now_ms()
        request_id = f'{admission.request.request_id}{suffix}'
        granted = await self._context.acquire_grant(
            make_enqueue(
                admission,
                self._engine_attempts,
                request_id=request_id,
                excluded=self._attempts.excluded,
                engines_reached=self._attempts.engines_reached,
                has_response_started=self._caller.has_response_started,
                zone=self._context.zone,
            )
        )
        self._waited_ms += now_ms() - requested_ms
        if isinstance(granted, Err):
            return granted
        allowed = recheck_key(
            self._context.configuration(),
            admission,
            may_accept_keys=self._context.freshness_guard.may_accept_keys(),
        )
        if _would_be_cut_off(self._context, admission):
            allowed = Err(instance_stops())
        if isinstance(allowed, Err):
            await self._async_release(request_id)
            return allowed
        if not self._attempts.engines_reached and admission.team is not None:
            self._return_tokens = self._context.record_granted_tokens(
                admission.team_name, admission.quota_tokens
            )
        return granted

    async def _async_check(self, grant: Grant) -> WithholdReason | None:
        """Return why a grant must not be used now, if so.

        An owner that was cut off may still hold the queue entry of an earlier
        attempt.
        """
        begun = self._engine_attempts.evidence.versions
        is_excluded = grant.upstream in self._attempts.excluded
        if is_excluded or (begun and begun[0] != (grant.version or '')):
            return WithholdReason.EARLIER_ATTEMPT
        return await self._context.send_guard.async_check(grant)

    def _record_returned_grant(
        self, engine: str, reason: WithholdReason
    ) -> None:
        """Record a grant whose engine must not get the request."""
        self._context.metrics.count_returned_grant(reason.name.lower())
        _LOGGER.info(
            'grant returned',
            request_id=self._admission.request.request_id,
            engine=engine,
            cause=reason.value,
            engines_age_ms=age_for_log(
                self._context.freshness_guard.engines_age_ms()
            ),
        )
        excluded = (*self._attempts.excluded, engine)
        self._attempts = self._attempts._replace(excluded=excluded)

    async def _async_use(self, grant: Grant) -> RunEnd | None:
        """Use a grant, or return it; `None`: nothing was sent."""
        reason = await self._async_check(grant)
        if reason is None:
            return await self._async_attempt(grant)
        self._record_returned_grant(grant.upstream, reason)
        await self._async_release(grant.request_id)
        return None

    async def _async_release(
        self,
        request_id: str | None = None,
        end: RunEnd = RunEnd.CANCELLED,
        summary: RunSummary | None = None,
    ) -> None:
        """Release a grant, with its tokens if no engine got the request.

        :param request_id: that the grant names; `None`: the request's own.
        """
        is_unsent = self._attempts.is_unsent(
            end,
            is_possibly_executing=self._engine_attempts.is_possibly_executing,
        )
        if is_unsent:
            self._return_tokens()
        await self._context.release_grant(
            request_id or self._admission.request.request_id,
            end,
            (summary or RunSummary())._replace(is_unsent=is_unsent),
        )

    async def _async_attempt(self, grant: Grant) -> RunEnd | None:
        """Try a granted engine; `None`: nothing was sent to it."""
        self._engine = grant.upstream
        self._version = grant.version or ''
        granted_ms = now_ms()
        end = RunEnd.CANCELLED
        withheld: WithholdReason | None = None
        try:
            outcome = await self._async_try(grant)
            if isinstance(outcome, WithholdReason):
                withheld = outcome
            else:
                end = self._delivery.attribute(outcome)
        finally:
            await self._engine_attempts.async_close(end)
            await self._async_release(
                grant.request_id, end, self._summarize(now_ms() - granted_ms)
            )
        if withheld is not None:
            self._record_returned_grant(grant.upstream, withheld)
            return None
        if end == RunEnd.FAILED:
            await self._context.check_engine(grant, self._engine_attempts.relay)
        if end != RunEnd.ANSWERED:
            log_ended_try(
                self._admission,
                self._engine_attempts,
                grant,
                end,
                now_ms() - granted_ms,
            )
        self._attempts = self._attempts.after(grant.upstream, end)
        return end

    async def _async_try(self, grant: Grant) -> RunEnd | WithholdReason:
        """Relay what a granted engine responds.

        A silent engine is left for another one, or else awaited.
        """
        runs = self._attempts.possible_runs + 1
        outcome = await self._engine_attempts.async_run(
            grant, is_last=runs >= self._admission.route.max_attempts
        )
        if outcome != RunEnd.SILENT or await self._async_replace(grant):
            return outcome
        return await self._engine_attempts.async_go_on()

    async def _async_replace(self, grant: Grant) -> bool:
        """Return whether another engine may go on for one that is silent.

        A stream that has begun would be broken for nothing if none may: its
        engine is likely to go on after a while.
        """
        if not self._caller.has_response_started:
            return True
        attempts = self._attempts
        self._attempts = attempts.after(grant.upstream, RunEnd.SILENT)
        granted: Result[Grant, NotRun] | None = None
        try:
            if self._may_use_another_engine(RunEnd.SILENT) and (
                await self._engine_attempts.evidence.async_may_go_on()
            ):
                granted = await self._async_grant(SUCCESSOR_SUFFIX)
        finally:
            self._attempts = attempts
        if isinstance(granted, Ok):
            self._successor = granted.ok_value
            return True
        _LOGGER.info(
            'silent engine kept',
            request_id=self._admission.request.request_id,
            engine=grant.upstream,
            code=granted.err_value.code if granted else 'no_more_tries',
        )
        return False

    def _summarize(self, total_ms: float) -> RunSummary:
        attempts = self._engine_attempts
        properties = self._context.configuration().services.get(
            self._admission.service
        )
        per_event = properties.tokens_per_event if properties else 0
        # The gap in which a second engine took over describes neither engine.
        is_single = not self._attempts.possible_runs
        return RunSummary(
            total_ms=total_ms,
            first_byte_ms=attempts.first_byte_ms,
            longest_gap_ms=attempts.longest_gap_ms if is_single else 0,
            output_tokens=attempts.event_count * per_event,
            relay=attempts.relay,
        )

    def _may_use_another_engine(self, end: RunEnd) -> bool:
        return self._attempts.allow_another(
            self._admission,
            end,
            is_resumable=self._engine_attempts.position.is_resumable,
            has_response_started=self._caller.has_response_started,
        )

    async def _async_handle_refusal(self, refusal: NotRun) -> Failure | None:
        if not self._attempts.possible_runs:
            return refusal
        if self._engine_attempts.response is not None:
            return await self._async_finish(RunEnd.ERRORED)
        # An engine may have run the request, so it must not count as refused.
        return Unknown(
            HTTPStatus.BAD_GATEWAY,
            refusal.code,
            'an engine failed and no other could be tried',
            refusal.retry_after_ms,
        )

    async def _async_finish(self, end: RunEnd) -> Failure | None:
        if end == RunEnd.UNREACHABLE:
            return await self._async_handle_refusal(engines_unreachable())
        response = self._engine_attempts.response
        if end == RunEnd.ANSWERED or response is not None:
            # What the caller has not read is held once, not twice.
            self._engine_attempts.response = None
            if response is not None:
                await self._caller.async_respond(response)
            return None
        if self._delivery.is_broken:
            return self._delivery.failure()
        return Unknown(
            HTTPStatus.BAD_GATEWAY,
            'engine_broken',
            'the engine broke after the request was sent to it',
        )


def _uncertain_version() -> Unknown:
    return Unknown(
        HTTPStatus.BAD_GATEWAY,
        'uncertain_version',
        'which version began the stream is not certain',
    )


def _would_be_cut_off(
    context: GatewayContext, admission: GatewayAdmission
) -> bool:
    """Return whether a planned stop may cut off what would be sent now.

    A call that runs once may have waited for longer than the stop leaves.
    Streams, and calls that may run again, are sent while their usual time is
    left, since most end long before their deadline.
    """
    shutdown = context.shutdown
    route = admission.route
    if route.is_stream or route.is_repeatable:
        return not shutdown.may_be_sent(now_ms(), route.objective_ms)
    return not shutdown.may_begin(now_ms(), admission.deadline_ms)
