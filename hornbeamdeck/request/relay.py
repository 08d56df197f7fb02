"""Sends a placed request to its upstream and its answer to the caller.

From the first byte written here every failure is `Unknown`: the type has no
way to say "not run", and there is no second dispatch.
"""

from http import HTTPStatus
from typing import Final

from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_within, now_ms
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
from hornbeamdeck.process.policy import Policy
from hornbeamdeck.request.admission import Admission
from hornbeamdeck.request.outcome import Outcome, Unknown
from hornbeamdeck.request.placement import Placement
from hornbeamdeck.wire import RunEnd

__all__ = ('Relay', 'async_relay', 'too_late', 'without_hop_by_hop')

HOP_BY_HOP: Final = frozenset(
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
# What must not reach an upstream: the team's key, and the wish for an encoding
# in which the end of a stream could not be recognized.
WITHHELD: Final = frozenset(('accept-encoding', 'authorization', 'expect'))
EVENT_STREAM: Final = 'text/event-stream'
END_MARK: Final = b'data: [DONE]'
TAIL_BYTES: Final = 64


class Relay:
    """One answer on its way from an upstream to a caller."""

    def __init__(self, admission: Admission, placement: Placement) -> None:
        """Begin before anything is written."""
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
        """Send the request; relay a stream, read any other answer whole."""
        sent = await self._upstream.async_send(_to_upstream(self._admission))
        if isinstance(sent, Err):
            return Err(_broken())
        head = await self._upstream.async_read_head()
        if isinstance(head, Err):
            return Err(_broken())
        answer = head.ok_value._replace(
            headers=_to_caller(
                head.ok_value.headers, self._admission.request_id
            ),
        )
        if caller is not None and _is_stream(answer):
            return await self._async_stream(answer, caller, policy)
        return await self._async_whole(answer)

    async def async_close(self) -> None:
        """End the upstream's part; closing cancels a run that has not ended."""
        if self._stream is None:
            await self._upstream.async_close()
            return
        await self._stream.async_close()
        if self.end == RunEnd.CANCELLED:
            await self._stream.async_cancel()

    async def _async_whole(
        self,
        answer: HttpResponse,
    ) -> Result[HttpResponse, Unknown]:
        body = await self._upstream.async_read_body()
        if isinstance(body, Err):
            return Err(_broken())
        if _is_stream(answer) and END_MARK not in body.ok_value:
            return Err(_broken())
        self.end = RunEnd.ANSWERED
        return Ok(answer._replace(body=body.ok_value))

    async def _async_stream(
        self,
        answer: HttpResponse,
        caller: ServerConnection,
        policy: Policy,
    ) -> Result[HttpResponse, Unknown]:
        stream = EngineStream(self._upstream, answer)
        self._stream = stream
        started = await caller.async_start(answer.status, answer.headers)
        tail = b''
        while not isinstance(started, Err):
            piece = await stream.async_read_piece()
            if isinstance(piece, Err):
                return Err(_broken())
            if not piece.ok_value:
                return await self._async_end(answer, caller, tail)
            if not tail:
                await self._async_first_token(policy)
            tail = (tail + piece.ok_value)[-TAIL_BYTES:]
            started = await caller.async_send(piece.ok_value)
        self.end = RunEnd.CANCELLED
        return Err(_broken())

    async def _async_end(
        self,
        answer: HttpResponse,
        caller: ServerConnection,
        tail: bytes,
    ) -> Result[HttpResponse, Unknown]:
        # An engine that dies behind a server of its own may have its stream
        # ended cleanly, short of the last event. Ended cleanly here too, the
        # caller would take half an answer for a whole one.
        if END_MARK not in tail:
            return Err(_broken())
        self.end = RunEnd.ANSWERED
        await caller.async_end()
        return Ok(answer)

    async def _async_first_token(self, policy: Policy) -> None:
        await policy.first_token(
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
    """Relay within a time limit; the upstream's place is always given back.

    :param caller: who gets a stream piece by piece; `None`: an answer is read
        whole, whatever its kind.
    :param limit_ms: when the run is cancelled, milliseconds from now.
    :returns: the response; what was streamed is not in its body.
    """
    relay = Relay(admission, placement)
    try:
        return await async_within(
            limit_ms,
            relay.async_run(caller, policy),
        )
    except TaskTimeout:
        relay.end = RunEnd.CANCELLED
        return Err(too_late())
    except BaseException:
        relay.end = RunEnd.CANCELLED
        raise
    finally:
        await relay.async_close()
        await policy.release(
            admission.request_id,
            relay.end,
            now_ms() - placement.granted_ms,
        )


def _is_stream(answer: HttpResponse) -> bool:
    return EVENT_STREAM in answer.headers.get('content-type', '')


def _broken() -> Unknown:
    return Unknown(
        HTTPStatus.BAD_GATEWAY,
        'upstream_broken',
        'the upstream broke after the request was sent to it',
    )


def too_late() -> Unknown:
    """Say that the deadline passed while the request ran."""
    return Unknown(
        HTTPStatus.GATEWAY_TIMEOUT,
        'deadline_passed',
        'the deadline passed after the request was sent to an upstream',
    )


def without_hop_by_hop(headers: Headers) -> dict[str, str]:
    """Drop the fields that concern one connection only."""
    return {
        name: text for name, text in headers.items() if name not in HOP_BY_HOP
    }


def _to_upstream(admission: Admission) -> HttpRequest:
    headers = {
        name: text
        for name, text in without_hop_by_hop(admission.request.headers).items()
        if name not in WITHHELD
    }
    headers[HEADER_REQUEST_ID] = admission.request_id
    if admission.is_stream:
        headers[HEADER_RESUMABLE] = 'true'
    return admission.request._replace(path=admission.path, headers=headers)


def _to_caller(headers: Headers, request_id: str) -> Headers:
    return {
        **without_hop_by_hop(headers),
        HEADER_OUTCOME: Outcome.RAN.value,
        HEADER_REQUEST_ID: request_id,
    }
