"""Sends an admitted request to engines and the response to the caller."""

from http import HTTPStatus
from typing import Final, NamedTuple

import structlog
from curio.errors import TaskTimeout
from result import Err, Result

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.server import (
    ServerConnection,
    confirm_delivered,
)
from hornbeamdeck.observability.logs import age_for_log
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
)
from hornbeamdeck.request.response_delivery import (
    ResponseDelivery,
    open_delivery,
)
from hornbeamdeck.wire import Grant, RunEnd

__all__ = ('async_run_gateway_request',)

_LOGGER = structlog.get_logger(prefix='request')

# Ends after which the request has certainly not run, so it may be sent to
# another engine.
_NOT_RUN: Final = frozenset(
    (
        RunEnd.NOT_DISPATCHED,
        RunEnd.UNREACHABLE,
        RunEnd.REJECTED,
        RunEnd.MISDIRECTED,
    ),
)
# Ends before any byte of the request was sent.
_NOT_SENT: Final = frozenset((RunEnd.NOT_DISPATCHED, RunEnd.UNREACHABLE))
# Ends after which it is possible that none of its bytes was sent.
_POSSIBLY_UNSENT: Final = _NOT_SENT | {RunEnd.CANCELLED}
# Ends after which a request that may run twice is sent to another engine.
_RETRYABLE: Final = frozenset((RunEnd.FAILED, RunEnd.SILENT, RunEnd.ERRORED))
# A request is refused after this many engines that neither this instance nor
# any other that it asked could reach. Another instance may reach them.
MAX_UNREACHABLE: Final = 2


class _Attempts(NamedTuple):
    """Attempts made for a request so far.

    :param excluded: engines that it must not be sent to again.
    :param engines_reached: number of engines that its bytes have reached.
    :param possible_runs: number of engines that may have worked on it.
    :param unreachable: number of engines that neither this instance nor any
        other that it asked could reach.
    """

    excluded: tuple[str, ...] = ()
    engines_reached: int = 0
    possible_runs: int = 0
    unreachable: int = 0


async def async_run_gateway_request(
    context: GatewayContext,
    admission: GatewayAdmission,
    caller: ServerConnection,
) -> None:
    """Answer a request.

    However it ends, the caller gets exactly one final response, or its
    connection is broken.
    """
    async with open_delivery(context.spools, admission, caller) as delivery:
        run = GatewayRun(context, admission, caller, delivery)
        try:
            failure = await _async_run_in_time(run, admission, caller)
            if failure is None:
                failure = await delivery.async_complete()
            else:
                await delivery.async_break_off()
        except BaseException:
            if context.shutdown.has_ended:
                run.log('request cut off', code='cut_off')
            else:
                run.log('caller left', code=delivery.left_code)
            raise
        if failure is None:
            confirm_delivered(caller)
            run.log('request answered')
        else:
            await run.async_fail(failure)
            if await delivery.async_complete() is not None:
                caller.reset_on_close()


async def _async_run_in_time(
    run: 'GatewayRun', admission: GatewayAdmission, caller: ServerConnection
) -> Failure | None:
    try:
        return await async_with_timeout(admission.left_ms, run.async_run())
    except TaskTimeout:
        # The deadline may pass just after the end of the response was written.
        return None if caller.is_response_complete else run.timeout_failure()


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
        self._attempts = _Attempts()
        self._engine_attempts = EngineAttempts(context, admission, caller)
        self._engine = ''
        self._version = ''
        self._waited_ms = 0.0
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
            granted = await self._async_grant()
            if isinstance(granted, Err):
                return await self._async_handle_refusal(granted.err_value)
            end = await self._async_use(granted.ok_value)
            if end is not None and not self._may_use_another_engine(end):
                return await self._async_finish(end)
            if not await self._engine_attempts.evidence.async_may_go_on():
                return _uncertain_version()

    async def _async_grant(self) -> Result[Grant, NotRun]:
        admission = self._admission
        requested_ms = now_ms()
        granted = await self._context.acquire_grant(
            make_enqueue(
                admission,
                self._engine_attempts,
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
        if self._would_be_cut_off():
            allowed = Err(instance_stops())
        if isinstance(allowed, Err):
            await self._async_release()
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

    def _would_be_cut_off(self) -> bool:
        """Return whether a planned stop may cut off what would be sent now.

        A call that runs once may have waited for longer than the stop leaves.
        Streams, and calls that may run again, are sent while their usual time
        is left, since most end long before their deadline.
        """
        shutdown = self._context.shutdown
        route = self._admission.route
        if route.is_stream or route.is_repeatable:
            return not shutdown.may_be_sent(now_ms(), route.objective_ms)
        return not shutdown.may_begin(now_ms(), self._admission.deadline_ms)

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
        await self._async_release()
        return None

    async def _async_release(
        self,
        end: RunEnd = RunEnd.CANCELLED,
        summary: RunSummary | None = None,
    ) -> None:
        """Release the grant, with its tokens if no engine got the request."""
        is_unsent = end in _POSSIBLY_UNSENT and not (
            self._attempts.engines_reached
            or self._engine_attempts.is_possibly_executing
        )
        if is_unsent:
            self._return_tokens()
        await self._context.release_grant(
            self._admission.request.request_id,
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
            runs = self._attempts.possible_runs + 1
            outcome = await self._engine_attempts.async_run(
                grant, is_last=runs >= self._admission.route.max_attempts
            )
            if isinstance(outcome, WithholdReason):
                withheld = outcome
            else:
                end = self._delivery.attribute(outcome)
        finally:
            await self._engine_attempts.async_close(end)
            await self._async_release(
                end,
                RunSummary(
                    total_ms=now_ms() - granted_ms,
                    first_byte_ms=self._engine_attempts.first_byte_ms,
                    longest_gap_ms=self._single_engine_gap_ms(),
                    output_tokens=self._generated_tokens(),
                    relay=self._engine_attempts.relay,
                ),
            )
        if withheld is not None:
            self._record_returned_grant(grant.upstream, withheld)
            return None
        if end == RunEnd.FAILED:
            await self._context.check_engine(grant, self._engine_attempts.relay)
        attempts = self._attempts
        if end != RunEnd.ANSWERED:
            _LOGGER.info(
                'try ended',
                request_id=self._admission.request.request_id,
                engine=grant.upstream,
                engine_version=grant.version or '',
                events=self._engine_attempts.event_count,
                end=end.name.lower(),
                cause=self._engine_attempts.cause,
                took_ms=int(now_ms() - granted_ms),
                fingerprint=self._engine_attempts.fingerprint,
                shared_parts=self._admission.request.shared_part_ids,
            )
        self._attempts = _Attempts(
            excluded=(*attempts.excluded, grant.upstream),
            engines_reached=attempts.engines_reached + (end not in _NOT_SENT),
            possible_runs=attempts.possible_runs + (end not in _NOT_RUN),
            unreachable=attempts.unreachable + (end == RunEnd.UNREACHABLE),
        )
        return end

    def _single_engine_gap_ms(self) -> float:
        """Return the longest gap in the stream; 0 if two engines sent it.

        The gap in which the second engine took over describes neither engine.
        """
        return (
            0
            if self._attempts.possible_runs
            else self._engine_attempts.longest_gap_ms
        )

    def _generated_tokens(self) -> int:
        properties = self._context.configuration().services.get(
            self._admission.service
        )
        if properties is None:
            return 0
        return self._engine_attempts.event_count * properties.tokens_per_event

    def _may_use_another_engine(self, end: RunEnd) -> bool:
        if end == RunEnd.UNREACHABLE:
            return self._attempts.unreachable < MAX_UNREACHABLE
        if end in _NOT_RUN:
            return True
        if end not in _RETRYABLE:
            return False
        route = self._admission.route
        if (
            not route.is_repeatable
            or not self._engine_attempts.position.is_resumable
            or self._attempts.possible_runs >= route.max_attempts
        ):
            return False
        return not self._caller.has_response_started or route.is_resumable

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
