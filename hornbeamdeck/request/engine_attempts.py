"""Attempts to run a request on an engine, and the relay of its response."""

import hashlib
from http import HTTPStatus
from typing import Final

from result import Err, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.errors import ConnectionBroken
from hornbeamdeck.connection.http import (
    HttpResponse,
    has_framing,
    utf8_field,
)
from hornbeamdeck.connection.response_limits import ResponseLimits
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.const import ENCODING
from hornbeamdeck.request.engine_connection import (
    EngineConnection,
    record_unreached,
)
from hornbeamdeck.request.gateway_admission import GatewayAdmission
from hornbeamdeck.request.gateway_context import GatewayContext
from hornbeamdeck.request.gateway_request import (
    EngineAttempt,
    ResponseVerdict,
    WithholdReason,
)
from hornbeamdeck.request.stream_evidence import StreamEvidence
from hornbeamdeck.request.stream_position import Selection, StreamPosition
from hornbeamdeck.wire import Grant, RunEnd

__all__ = ('EngineAttempts',)

EVENT_STREAM: Final = 'text/event-stream'
FINGERPRINT_CHARS: Final = 16


class EngineAttempts:
    """Sends one request to engines, one after another."""

    def __init__(
        self,
        context: GatewayContext,
        admission: GatewayAdmission,
        caller: ServerConnection,
    ) -> None:
        """Initialize; nothing has been sent yet."""
        self.response: HttpResponse | None = None
        self.cause = ''
        # From sending an attempt to the first byte of its response.
        self.first_byte_ms = 0.0
        # From the arrival of the request to the first byte of any response.
        self.arrival_to_first_byte_ms = 0.0
        self.longest_gap_ms = 0.0
        # Time spent on opening connections, in all attempts.
        self.dialed_ms = 0.0
        # Events of the current attempt that were relayed.
        self.event_count = 0
        self.is_possibly_executing = False
        self.position = StreamPosition(admission.request.last_event_id)
        self._context = context
        self._admission = admission
        self._caller = caller
        self._last_event_ms = 0.0
        self._is_last = False
        # The head that a stream began with, and when its request was sent.
        self._streamed: tuple[HttpResponse, float] | None = None
        # Attempts in which at least one byte was sent.
        self._sent_count = 0
        self._was_possibly_executing = False
        self._evidence = StreamEvidence(context, admission)
        self._engine_connection = EngineConnection(
            context.connection_pool,
            context.engine_dialer,
            is_repeatable=admission.route.is_repeatable,
        )

    @property
    def fingerprint(self) -> str:
        """Digest of the request, which stays the same when it is resent."""
        request = self._admission.request.http_request
        digest = hashlib.sha256()
        for part in (request.path, request.query, self._admission.team_name):
            digest.update(f'{part}\x00'.encode(ENCODING))
        digest.update(request.body)
        return digest.hexdigest()[:FINGERPRINT_CHARS]

    async def async_run(
        self, grant: Grant, *, is_last: bool
    ) -> RunEnd | WithholdReason:
        """Send the request to the granted engine and relay its response.

        :param is_last: whether no other engine may get the request after this
            one.
        :returns: how the attempt ended; a complete response that is not a
            stream is left in `response`. Or why nothing was sent.
        """
        self.event_count = 0
        self._is_last = is_last
        dialing_ms = now_ms()
        opened = await self._engine_connection.async_open(
            grant, self._admission.left_ms
        )
        self.dialed_ms += now_ms() - dialing_ms
        if isinstance(opened, Err):
            self.cause = opened.err_value.cause
            return record_unreached(opened.err_value, self._context.metrics)
        connection = opened.ok_value
        withheld = await self._evidence.async_withhold(
            grant, connection, self.position.last_event_id
        )
        # Connecting may have taken long enough for an engine to leave.
        withheld = withheld or self._context.send_guard.check(grant)
        if withheld is not None:
            return withheld
        sent_ms = now_ms()
        sent = await self._async_send(connection, grant.upstream)
        if isinstance(sent, Err):
            return self._record_unsent(sent.err_value)
        head = await connection.async_read_head()
        if isinstance(head, Err):
            return self._record_broken(head.err_value)
        self._engine_connection.record_keep_alive(head.ok_value)
        verdict = self._context.dialect.classify_response(
            self._admission.request, head.ok_value
        )
        await self._context.record_statement(
            grant,
            self._context.dialect.read_statement(head.ok_value, verdict),
            self.relay,
        )
        return await self._async_relay(head.ok_value, verdict, sent_ms)

    async def async_go_on(self) -> RunEnd:
        """Relay the rest of a stream whose engine was silent for too long.

        There is no limit to further silence.
        """
        connection = self._engine_connection.connection
        if connection is None or self._streamed is None:
            return RunEnd.SILENT
        if not connection.lift_silence_limit():
            # The operating system has given the connection up.
            return RunEnd.SILENT
        return await self._async_relay_stream(*self._streamed)

    @property
    def relay(self) -> str:
        """The instance that the last attempt led through; empty: none."""
        return self._engine_connection.relay

    @property
    def evidence(self) -> StreamEvidence:
        """Which engines have made the relayed events."""
        return self._evidence

    async def async_close(self, end: RunEnd) -> None:
        """Release the connection; the engine cancels an unfinished run.

        :param end: how the run ended.
        """
        await self._engine_connection.async_close(end)

    async def _async_send(
        self,
        connection: ClientConnection,
        engine: str,
    ) -> Result[None, ConnectionBroken]:
        admission = self._admission
        limits = self._context.configuration().limits
        connection.apply_limits(
            ResponseLimits.of_engine(
                limits.max_body_bytes, admission.silence_limit_ms
            )
        )
        if self._is_last and self._caller.has_response_started:
            connection.lift_silence_limit()
        attempt = EngineAttempt(
            engine=engine,
            team=utf8_field(admission.team_name),
            left_ms=admission.left_ms,
            last_event_id=self.position.last_event_id,
        )
        request = admission.request.http_request._replace(
            headers=self._context.dialect.engine_headers(
                admission.request, attempt
            ),
        )
        self._sent_count += 1
        self._was_possibly_executing = self.is_possibly_executing
        self.is_possibly_executing = True
        return await connection.async_send(
            request, limit_ms=admission.sending_limit_ms(self._sent_count)
        )

    async def _async_relay(
        self,
        head: HttpResponse,
        verdict: ResponseVerdict,
        sent_ms: float,
    ) -> RunEnd:
        match verdict:
            case ResponseVerdict.REJECTED:
                self.cause = f'rejected by the engine, status {head.status}'
                self.is_possibly_executing = False
                return RunEnd.REJECTED
            case ResponseVerdict.MISDIRECTED:
                self.cause = 'the address belongs to another engine'
                self.is_possibly_executing = False
                return RunEnd.MISDIRECTED
            case ResponseVerdict.INVALID_RESPONSE:
                self.cause = (
                    f'not a valid engine response, status {head.status}'
                )
                return RunEnd.FAILED
        is_stream = EVENT_STREAM in head.headers.get('content-type', '')
        if head.status == HTTPStatus.OK and is_stream:
            self.position.start_attempt()
            self._streamed = (head, sent_ms)
            return await self._async_relay_stream(head, sent_ms)
        return await self._async_read_complete(head, sent_ms)

    async def _async_read_complete(
        self, head: HttpResponse, sent_ms: float
    ) -> RunEnd:
        connection = self._engine_connection.connection
        if connection is None:
            return RunEnd.CANCELLED
        body = await connection.async_read_body()
        if isinstance(body, Err):
            return self._record_broken(body.err_value)
        if not await self._async_is_whole(head):
            return RunEnd.FAILED
        self._record_first_byte(sent_ms)
        complete = head._replace(body=body.ok_value)
        if self._caller.has_response_started:
            # A stream was to be resumed, but this response is not a stream.
            self.cause = f'not a stream, status {head.status}'
            return RunEnd.FAILED
        self.response = self._context.dialect.caller_response(complete)
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.cause = f'status {head.status}'
            return RunEnd.ERRORED
        return RunEnd.ANSWERED

    async def _async_relay_stream(
        self, head: HttpResponse, sent_ms: float
    ) -> RunEnd:
        connection = self._engine_connection.connection
        end: RunEnd | None = None
        while connection is not None and end is None:
            chunk = await connection.async_read_chunk()
            if isinstance(chunk, Err):
                return self._record_broken(chunk.err_value)
            if not chunk.ok_value:
                return await self._async_end_stream(head)
            selection = self.position.add_chunk(chunk.ok_value)
            end = await self._async_relay_events(head, selection, sent_ms)
            if end is None and not selection.is_in_order:
                self.cause = 'events that do not follow each other'
                return RunEnd.FAILED
        return end or RunEnd.CANCELLED

    async def _async_end_stream(self, head: HttpResponse) -> RunEnd:
        # Without framing, the end of an engine looks like that of a stream.
        may_be_empty = self.position.last_event_id and has_framing(head)
        if self.position.has_partial_event or not (
            self.event_count or may_be_empty
        ):
            self.cause = 'the stream ended within an event'
            return RunEnd.FAILED
        if self.position.is_behind:
            self.cause = 'the stream ended before the last event'
            return RunEnd.FAILED
        if not await self._async_is_whole(head):
            return RunEnd.FAILED
        await self._async_begin(head)
        await self._caller.async_end_response()
        return RunEnd.ANSWERED

    async def _async_relay_events(
        self,
        head: HttpResponse,
        selection: Selection,
        sent_ms: float,
    ) -> RunEnd | None:
        """Relay events, after the response head if it was not sent yet.

        :returns: how the attempt ends if it can't continue, else `None`.
        """
        unsent = selection.unsent
        if not unsent:
            return None
        await self._async_begin(head)
        connection = self._engine_connection.connection
        if connection and (self._is_last or not self.position.is_resumable):
            # What has begun would be broken for nothing.
            connection.lift_silence_limit()
        if not self.first_byte_ms:
            self._record_first_byte(sent_ms)
            self._context.metrics.record_first_token(self.first_byte_ms)
        now = now_ms()
        gap_ms = now - (self._last_event_ms or now)
        self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        if not self.event_count:
            await self._evidence.async_record_part(
                self._engine_connection, unsent[0], now_ms() - sent_ms
            )
        self.event_count += len(unsent)
        encoded = b''.join(event.encoded for event in unsent)
        relayed = await self._caller.async_send_chunk(encoded)
        # A caller that holds back the relay must not make its engine look slow.
        self._last_event_ms = now_ms()
        return RunEnd.CANCELLED if isinstance(relayed, Err) else None

    async def _async_begin(self, head: HttpResponse) -> None:
        if self._caller.has_response_started:
            return
        # That of an engine before this one is not the final response.
        self.response = None
        begun = self._context.dialect.caller_response(head)
        await self._caller.async_start_response(begun.status, begun.headers)

    async def _async_is_whole(self, head: HttpResponse) -> bool:
        is_whole = await self._engine_connection.async_is_whole(
            self._admission.request.http_request.method,
            head,
            self._context.is_running,
        )
        if not is_whole:
            self.cause = 'the engine has ended with its response'
        return is_whole

    def _record_unsent(self, broken: ConnectionBroken) -> RunEnd:
        """Record that the request was not sent, or only a part of it."""
        end = self._record_broken(broken)
        if not broken.is_unsent:
            return end
        self._sent_count -= 1
        self.is_possibly_executing = self._was_possibly_executing
        return RunEnd.NOT_DISPATCHED

    def _record_broken(self, broken: ConnectionBroken) -> RunEnd:
        self.cause = broken.cause
        if broken.limit:
            self._context.metrics.count_exceeded_limit(broken.limit)
        return RunEnd.SILENT if broken.is_timeout else RunEnd.FAILED

    def _record_first_byte(self, sent_ms: float) -> None:
        now = now_ms()
        self.first_byte_ms = now - sent_ms
        self.arrival_to_first_byte_ms = (
            self.arrival_to_first_byte_ms or now - self._admission.arrived_ms
        )
