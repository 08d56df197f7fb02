"""Sends a placed request to its upstream and the response to the caller.

From the first byte written here every failure is `Unknown`. That type can't
express "not run", and the request is not sent a second time.
"""

from http import HTTPStatus
from typing import Final

from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.engine_stream import (
    HEADER_RESUMABLE,
    EngineStream,
)
from hornbeamdeck.connection.http import Headers, HttpRequest, HttpResponse
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.const import (
    HEADER_OUTCOME,
    HEADER_REQUEST_ID,
)
from hornbeamdeck.ownership.placement_policy import Policy
from hornbeamdeck.request.admission import Admission
from hornbeamdeck.request.outcome import Outcome, Unknown
from hornbeamdeck.request.placement import Placement
from hornbeamdeck.wire import RunEnd

__all__ = (
    'Relay',
    'async_relay',
    'deadline_passed_during_run',
    'without_connection_headers',
    'without_hop_by_hop',
)

HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
# Headers that must not reach an upstream. They include the team's key and the
# request for an encoding in which the end of a stream could not be recognized.
WITHHELD_HEADERS: Final = frozenset(
    ('accept-encoding', 'authorization', 'expect')
)
EVENT_STREAM: Final = 'text/event-stream'
END_MARK: Final = b'data: [DONE]'
TAIL_BYTES: Final = 64


class Relay:
    """Relays one response from an upstream to a caller."""

    def __init__(self, admission: Admission, placement: Placement) -> None:
        """Initialize; nothing has been written yet."""
        self.end = RunEnd.FAILED
        self._stream: EngineStream | None = None
        self._admission = admission
        self._upstream: ClientConnection = placement.connection
        self._granted_ms = placement.granted_ms

    async def async_run(
        self,
        caller: ServerConnection | None,
        policy: Policy,
    ) -> Result[HttpResponse, Unknown]:
        """Send the request, then relay a stream or read another response."""
        sent = await self._upstream.async_send(
            _make_upstream_request(self._admission)
        )
        if isinstance(sent, Err):
            return Err(_upstream_broken())
        head = await self._upstream.async_read_head()
        if isinstance(head, Err):
            return Err(_upstream_broken())
        response = head.ok_value._replace(
            headers=_make_caller_headers(
                head.ok_value.headers, self._admission.request_id
            ),
        )
        if caller is not None and _is_stream(response):
            return await self._async_relay_stream(response, caller, policy)
        return await self._async_read_complete(response)

    async def async_close(self) -> None:
        """Close the upstream connection and cancel an unfinished run."""
        if self._stream is None:
            await self._upstream.async_close()
            return
        await self._stream.async_close()
        if self.end == RunEnd.CANCELLED:
            await self._stream.async_cancel()

    async def _async_read_complete(
        self,
        response: HttpResponse,
    ) -> Result[HttpResponse, Unknown]:
        body = await self._upstream.async_read_body()
        if isinstance(body, Err):
            return Err(_upstream_broken())
        if _is_stream(response) and END_MARK not in body.ok_value:
            return Err(_upstream_broken())
        self.end = RunEnd.ANSWERED
        return Ok(response._replace(body=body.ok_value))

    async def _async_relay_stream(
        self,
        response: HttpResponse,
        caller: ServerConnection,
        policy: Policy,
    ) -> Result[HttpResponse, Unknown]:
        stream = EngineStream(self._upstream, response)
        self._stream = stream
        sent_to_caller = await caller.async_start_response(
            response.status, response.headers
        )
        tail = b''
        while not isinstance(sent_to_caller, Err):
            chunk = await stream.async_read_chunk()
            if isinstance(chunk, Err):
                return Err(_upstream_broken())
            if not chunk.ok_value:
                return await self._async_end_stream(response, caller, tail)
            if not tail:
                await self._async_report_first_token(policy)
            tail = (tail + chunk.ok_value)[-TAIL_BYTES:]
            sent_to_caller = await caller.async_send_chunk(chunk.ok_value)
        self.end = RunEnd.CANCELLED
        return Err(_upstream_broken())

    async def _async_end_stream(
        self,
        response: HttpResponse,
        caller: ServerConnection,
        tail: bytes,
    ) -> Result[HttpResponse, Unknown]:
        # If an engine process dies behind its own HTTP server, that server may
        # end the stream cleanly before the last event. If the stream were
        # ended cleanly here too, the caller would take a truncated response
        # for a complete one.
        if END_MARK not in tail:
            return Err(_upstream_broken())
        self.end = RunEnd.ANSWERED
        await caller.async_end_response()
        return Ok(response)

    async def _async_report_first_token(self, policy: Policy) -> None:
        await policy.on_first_token(
            self._admission.request_id,
            now_ms() - self._granted_ms,
        )


async def async_relay(
    admission: Admission,
    placement: Placement,
    policy: Policy,
    caller: ServerConnection | None,
    *,
    limit_ms: int,
) -> Result[HttpResponse, Unknown]:
    """Relay within a time limit, and always release the upstream's slot.

    :param caller: gets a stream chunk by chunk. If `None`, every response is
        read completely, also a stream.
    :param limit_ms: when the run is cancelled, milliseconds from now.
    :returns: the response; its body lacks what was streamed to the caller.
    """
    relay = Relay(admission, placement)
    try:
        return await async_with_timeout(
            limit_ms,
            relay.async_run(caller, policy),
        )
    except TaskTimeout:
        relay.end = RunEnd.CANCELLED
        return Err(deadline_passed_during_run())
    except BaseException:
        relay.end = RunEnd.CANCELLED
        raise
    finally:
        await relay.async_close()
        await policy.on_end(
            admission.request_id,
            relay.end,
            now_ms() - placement.granted_ms,
        )


def _is_stream(response: HttpResponse) -> bool:
    return EVENT_STREAM in response.headers.get('content-type', '')


def _upstream_broken() -> Unknown:
    return Unknown(
        HTTPStatus.BAD_GATEWAY,
        'upstream_broken',
        'the upstream broke after the request was sent to it',
    )


def deadline_passed_during_run() -> Unknown:
    """Make the failure for a deadline that passed while the request ran."""
    return Unknown(
        HTTPStatus.GATEWAY_TIMEOUT,
        'deadline_passed',
        'the deadline passed after the request was sent to an upstream',
    )


def without_hop_by_hop(headers: Headers) -> dict[str, str]:
    """Remove the headers that apply to a single connection."""
    return {
        name: text
        for name, text in headers.items()
        if name not in HOP_BY_HOP_HEADERS
    }


def without_connection_headers(headers: Headers) -> Headers:
    """Remove the same, and those that the Connection header names."""
    named = headers.get('connection', '').split(',')
    connection_only = {each.strip().lower() for each in named}
    return {
        name: text
        for name, text in without_hop_by_hop(headers).items()
        if name not in connection_only
    }


def _make_upstream_request(admission: Admission) -> HttpRequest:
    headers = {
        name: text
        for name, text in without_hop_by_hop(admission.request.headers).items()
        if name not in WITHHELD_HEADERS
    }
    headers[HEADER_REQUEST_ID] = admission.request_id
    if admission.is_stream:
        headers[HEADER_RESUMABLE] = 'true'
    return admission.request._replace(path=admission.path, headers=headers)


def _make_caller_headers(headers: Headers, request_id: str) -> Headers:
    return {
        **without_hop_by_hop(headers),
        HEADER_OUTCOME: Outcome.RAN.value,
        HEADER_REQUEST_ID: request_id,
    }
