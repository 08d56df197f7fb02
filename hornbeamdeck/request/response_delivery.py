"""Delivers a response to its caller after its run has ended."""

from contextlib import AbstractContextManager
from http import HTTPStatus
from typing import Final, Self

from result import Err, Ok

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.server import (
    ServerConnection,
    async_reset_connection,
)
from hornbeamdeck.memory.spool import Spool, SpoolTerms
from hornbeamdeck.memory.spools import Spools
from hornbeamdeck.request.gateway_admission import GatewayAdmission
from hornbeamdeck.request.outcome import Unknown
from hornbeamdeck.wire import RunEnd

__all__ = ('ResponseDelivery', 'open_delivery')

# A caller that reads nothing for less than this has not stalled, however short
# the gaps are that its route allows.
MIN_STALL_MS: Final = 2000
# How long a caller whose deadline has passed may read nothing of a response
# that is complete.
MAX_UNREAD_MS: Final = 30_000
# Engines cut off responses that are not read for some seconds. A response that
# breaks after less than this has broken for another reason.
MAX_HELD_BACK_MS: Final = 1000
CODE_LEFT: Final = 'caller_left'
CODE_UNREAD: Final = 'caller_too_slow'


class ResponseDelivery:
    """What the caller of one request has not read yet.

    The engine's slot is released when the engine has ended; the request ends
    when its caller has read the response.
    """

    def __init__(
        self, spool: Spool, caller: ServerConnection, deadline_ms: float
    ) -> None:
        """Initialize; the response has not begun.

        :param deadline_ms: of the request, on this process's clock.
        """
        self._spool = spool
        self._caller = caller
        self._deadline_ms = deadline_ms
        # Whether an engine has cut off the response since it was not read.
        self._is_cut_off = False

    async def __aenter__(self) -> Self:
        """Write the response through the spool."""
        await self._spool.__aenter__()
        self._caller.write_through(self._spool)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Drop what the caller has not read."""
        self._caller.write_through(None)
        await self._spool.__aexit__()

    @property
    def is_broken(self) -> bool:
        """Whether the response has ended early because of its caller."""
        return self._is_cut_off or self._spool.broken is not None

    @property
    def left_code(self) -> str:
        """Whether the caller has left or was too slow."""
        broken = self._spool.broken
        is_too_slow = broken is not None and broken.is_timeout
        return CODE_UNREAD if self._is_cut_off or is_too_slow else CODE_LEFT

    def failure(self) -> Unknown:
        """Make the failure of a response that ended because of its caller."""
        return Unknown(
            HTTPStatus.BAD_GATEWAY,
            self.left_code,
            'the caller did not read its response',
        )

    def attribute(self, end: RunEnd) -> RunEnd:
        """Return how an attempt has ended, without what its caller caused.

        An engine that is not read for some seconds, since its caller does not
        read, cuts off its response. That is no failure of the engine.
        """
        is_cut_off = self._spool.held_back_ms > MAX_HELD_BACK_MS
        if end == RunEnd.FAILED and is_cut_off:
            self._is_cut_off = True
            return RunEnd.CANCELLED
        return end

    async def async_complete(self) -> Unknown | None:
        """Wait until the caller has read a complete response.

        It is delivered also after its deadline, for as long as it is read.

        :returns: the failure if the caller does not read it.
        """
        with self._wait_until_taken():
            flushed = await self._spool.async_flush(
                self._deadline_ms, MAX_UNREAD_MS
            )
        return self.failure() if isinstance(flushed, Err) else None

    async def async_break_off(self) -> None:
        """Wait until the caller has read what there is of a response."""
        stall_ms = self._spool.terms.stall_ms
        with self._wait_until_taken():
            flushed = await self._spool.async_flush(self._deadline_ms, stall_ms)
            if isinstance(flushed, Ok):
                until_ms = max(self._deadline_ms, now_ms() + stall_ms)
                await self._spool.async_flush_socket(until_ms)

    def _wait_until_taken(self) -> AbstractContextManager[None]:
        """Let the connection end for others while its caller reads nothing."""
        caller, spool = self._caller, self._spool
        return caller.connections.waiting(
            caller.sock, caller.reset_on_close, lambda: spool.progressed_ms
        )


def open_delivery(
    spools: Spools, admission: GatewayAdmission, caller: ServerConnection
) -> ResponseDelivery:
    """Make the delivery of an admitted request's response."""

    async def _async_reset() -> None:
        await async_reset_connection(caller)

    terms = SpoolTerms(
        request_id=admission.request.request_id,
        rank=admission.rank,
        stall_ms=max(admission.route.gap_ms, MIN_STALL_MS),
    )
    spool = spools.open(caller.sock, terms, _async_reset)
    return ResponseDelivery(spool, caller, admission.deadline_ms)
