"""One sending of a request to one engine, and the relay of its answer."""

import hashlib
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any, Final, TypeVar

from curio.errors import TaskTimeout
from result import Err, Result

from hornbeamdeck.clock import async_within, now_ms
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.errors import ConnectionBroken
from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.const import ENCODING
from hornbeamdeck.request.engine_link import EngineLink
from hornbeamdeck.request.event_feed import Event, EventFeed
from hornbeamdeck.request.routed_admission import RoutedAdmission
from hornbeamdeck.request.routed_ask import Dispatch, Verdict
from hornbeamdeck.request.routed_edge import Edge
from hornbeamdeck.wire import Grant, RunEnd

__all__ = ('EngineCall',)

# An answer that may be asked for elsewhere is given up after this many times
# its objective, a stream that may be resumed after this many of its gaps.
SILENT_OBJECTIVES: Final = 3
SILENT_GAPS: Final = 3
EVENT_STREAM: Final = 'text/event-stream'

_Read = TypeVar('_Read')


class EngineCall:
    """Calls engines for one request, one after another."""

    def __init__(
        self,
        edge: Edge,
        admission: RoutedAdmission,
        caller: ServerConnection,
    ) -> None:
        """Begin before anything is sent."""
        self.answer: HttpResponse | None = None
        self.cause = ''
        self.first_ms = 0.0
        self.begun_ms = 0.0
        self.longest_gap_ms = 0.0
        self.is_sent = False
        self.last_event = admission.ask.last_event
        self._edge = edge
        self._admission = admission
        self._caller = caller
        self._event_ms = 0.0
        self._link = EngineLink(
            edge.connections,
            may_repeat=admission.route.may_repeat,
        )

    @property
    def fingerprint(self) -> str:
        """Digest of the request, the same when it is sent again."""
        request = self._admission.ask.request
        digest = hashlib.sha256()
        for part in (request.path, request.query, self._admission.team_name):
            digest.update(f'{part}\x00'.encode(ENCODING))
        digest.update(request.body)
        return digest.hexdigest()

    async def async_run(self, grant: Grant) -> RunEnd:
        """Send the request to the granted engine and relay what it answers.

        :returns: how that ended; a whole answer that is no stream is left in
            `answer`.
        """
        opened = await self._link.async_open(grant)
        if isinstance(opened, Err):
            self.cause = opened.err_value.cause
            return RunEnd.NOT_DISPATCHED
        sent_ms = now_ms()
        head = await self._async_head(opened.ok_value, grant.upstream)
        if isinstance(head, Err):
            self.cause = head.err_value.cause
            return RunEnd.FAILED
        self._link.note_head(head.ok_value)
        return await self._async_relay(head.ok_value, sent_ms)

    async def async_close(self, end: RunEnd) -> None:
        """Be done with the engine; it drops a run that has not ended.

        :param end: how the run ended.
        """
        await self._link.async_close(end)

    async def _async_head(
        self,
        connection: ClientConnection,
        engine: str,
    ) -> Result[HttpResponse, ConnectionBroken]:
        admission = self._admission
        dispatch = Dispatch(
            engine=engine,
            team=admission.team_name,
            left_ms=admission.left_ms,
            after_event=self.last_event,
        )
        request = admission.ask.request._replace(
            headers=self._edge.dialect.to_engine(admission.ask, dispatch),
        )
        self.is_sent = True
        sent = await connection.async_send(request)
        if isinstance(sent, Err):
            return sent
        return await self._async_patiently(connection.async_read_head())

    async def _async_relay(
        self,
        head: HttpResponse,
        sent_ms: float,
    ) -> RunEnd:
        match self._edge.dialect.judge(self._admission.ask, head):
            case Verdict.NOT_RUN:
                self.cause = f'not run, status {head.status}'
                self.is_sent = False
                return RunEnd.REJECTED
            case Verdict.OTHER_ENGINE:
                self.cause = 'another engine has the address'
                self.is_sent = False
                return RunEnd.MISDIRECTED
            case Verdict.NOT_ITS_ANSWER:
                self.cause = f'not its answer, status {head.status}'
                return RunEnd.FAILED
        is_stream = EVENT_STREAM in head.headers.get('content-type', '')
        if head.status == HTTPStatus.OK and is_stream:
            return await self._async_stream(head, sent_ms)
        return await self._async_whole(head, sent_ms)

    async def _async_whole(self, head: HttpResponse, sent_ms: float) -> RunEnd:
        connection = self._link.connection
        if connection is None:
            return RunEnd.CANCELLED
        body = await self._async_patiently(connection.async_read_body())
        if isinstance(body, Err):
            self.cause = body.err_value.cause
            return RunEnd.FAILED
        self._note_first(sent_ms)
        whole = head._replace(body=body.ok_value)
        if self._caller.has_started:
            # A stream was to go on here and this is no stream.
            self.cause = f'no stream, status {head.status}'
            return RunEnd.FAILED
        self.answer = self._edge.dialect.to_caller(whole)
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.cause = f'status {head.status}'
            return RunEnd.ERRORED
        return RunEnd.ANSWERED

    async def _async_stream(self, head: HttpResponse, sent_ms: float) -> RunEnd:
        feed = EventFeed()
        connection = self._link.connection
        end: RunEnd | None = None
        while connection is not None and end is None:
            piece = await self._async_patiently(connection.async_read_piece())
            if isinstance(piece, Err):
                self.cause = piece.err_value.cause
                return RunEnd.FAILED
            if not piece.ok_value:
                return await self._async_end(feed)
            events = feed.feed(piece.ok_value)
            end = await self._async_pass_on(head, events, sent_ms)
        return end or RunEnd.CANCELLED

    async def _async_end(self, feed: EventFeed) -> RunEnd:
        if feed.has_half or not self._caller.has_started:
            self.cause = 'the stream ended within an event'
            return RunEnd.FAILED
        await self._caller.async_end()
        return RunEnd.ANSWERED

    async def _async_pass_on(
        self,
        head: HttpResponse,
        events: list[Event],
        sent_ms: float,
    ) -> RunEnd | None:
        """Pass events on, the head of the first engine before the first.

        :returns: how the run ends where it can't go on.
        """
        news = self._news(events)
        if news is None:
            self.cause = 'events are missing'
            return RunEnd.FAILED
        if not news:
            return None
        if not self._caller.has_started:
            answer = self._edge.dialect.to_caller(head)
            await self._caller.async_start(answer.status, answer.headers)
        if not self.first_ms:
            self._note_first(sent_ms)
            await self._edge.progress(
                self._admission.ask.request_id,
                self.first_ms,
            )
            self._edge.metrics.first_token(self.first_ms)
        self._note_gap()
        encoded = b''.join(event.encoded for event in news)
        passed = await self._caller.async_send(encoded)
        return RunEnd.CANCELLED if isinstance(passed, Err) else None

    def _note_first(self, sent_ms: float) -> None:
        now = now_ms()
        self.first_ms = now - sent_ms
        self.begun_ms = self.begun_ms or now - self._admission.arrived_ms

    def _note_gap(self) -> None:
        now = now_ms()
        if self._event_ms:
            gap_ms = now - self._event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self._event_ms = now

    def _news(self, events: list[Event]) -> list[Event] | None:
        """Take the events that the caller lacks.

        :returns: `None` where one between is missing.
        """
        news = []
        for event in events:
            ahead = self._ahead(event)
            if ahead > 1:
                return None
            if ahead == 1:
                news.append(event)
                self.last_event = event.name or self.last_event
        return news

    def _ahead(self, event: Event) -> int:
        """Tell how far an event is ahead of the last one; 1: it is next."""
        if event.name.isdigit() and self.last_event.isdigit():
            return int(event.name) - int(self.last_event)
        return 1

    async def _async_patiently(
        self,
        reading: Coroutine[Any, Any, Result[_Read, ConnectionBroken]],
    ) -> Result[_Read, ConnectionBroken]:
        limit_ms = self._silence_ms()
        if not limit_ms:
            return await reading
        try:
            return await async_within(limit_ms, reading)
        except TaskTimeout:
            return Err(ConnectionBroken(f'silent for {limit_ms} ms'))

    def _silence_ms(self) -> int:
        """Tell how long a silent engine is waited for; 0: to the deadline."""
        route = self._admission.route
        if not route.may_repeat:
            return 0
        if route.is_stream:
            waited_ms = SILENT_GAPS * route.gap_ms
            return max(waited_ms, SILENT_OBJECTIVES * route.objective_ms)
        return SILENT_OBJECTIVES * route.objective_ms
