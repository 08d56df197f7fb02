"""Opens the spools of a process, and ends the slowest when memory is short."""

from collections.abc import Awaitable, Callable
from typing import Final, Self, TypeAlias

import structlog
from curio import socket

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.memory.budget import Account, MemoryBudget, Purpose
from hornbeamdeck.memory.incoming_responses import IncomingResponses
from hornbeamdeck.memory.spool import Spool, SpoolTerms

__all__ = ('Spools',)

_LOGGER = structlog.get_logger(prefix='memory')

# Up to this part of the share, all responses are held. Beyond it, only the
# first of those that grow is, so that some engines end and release their slots.
# If all grew alike, the share would be used up before any of them has ended.
OPEN_SHARE: Final = 0.25
_PURPOSE: Final = Purpose.UNREAD_RESPONSES

AsyncReset: TypeAlias = Callable[[], Awaitable[None]]


class Spools:
    """The responses that callers have not read yet."""

    def __init__(self, budget: MemoryBudget) -> None:
        """Start without responses."""
        self.disconnected_callers = 0
        self.budget = budget
        # What is read from engines and not complete yet.
        self.incoming = IncomingResponses(budget)
        self._resets: dict[Spool, AsyncReset] = {}

    @classmethod
    def from_settings(cls, memory_mb: float | None) -> Self:
        """Make the spools of a process that may use this much memory."""
        return cls(MemoryBudget.from_settings(memory_mb))

    def open_peer_account(self) -> Account:
        """Make what counts the messages that other instances have not taken."""
        return self.budget.open_account(Purpose.PEER_MESSAGES)

    def open(
        self, sock: socket.socket, terms: SpoolTerms, async_reset: AsyncReset
    ) -> Spool:
        """Open the spool of one response; it is forgotten when it is closed.

        :param sock: the caller's connection.
        :param async_reset: resets that connection and ends the run.
        """
        spool = Spool(sock, terms, self)
        self._resets[spool] = async_reset
        return spool

    def forget(self, spool: Spool) -> None:
        """Forget a spool that is closed."""
        self._resets.pop(spool, None)

    def hold(self, held_bytes: int) -> None:
        """Count bytes that are held from now on."""
        self.budget.hold(_PURPOSE, held_bytes)

    def drop(self, held_bytes: int) -> None:
        """Count bytes that are no longer held."""
        self.budget.drop(_PURPOSE, held_bytes)

    def count_without_room(self) -> None:
        """Count that a response has to wait for room."""
        self.budget.count_without_room(_PURPOSE)

    async def async_make(self, spool: Spool) -> bool:
        """Return whether more may be held for a response.

        If the share is used up, the slowest of the least urgent callers that
        have stopped reading is disconnected.
        """
        now = now_ms()
        if self.budget.has_room(_PURPOSE):
            return self._is_first(spool, now)
        stalled = [
            each
            for each in self._resets
            if each.stalled_ms(now) > each.terms.stall_ms
        ]
        if stalled:
            slowest = max(
                stalled,
                key=lambda each: (
                    each.terms.rank,
                    -each.bytes_per_ms(now),
                    # Of those that read nothing, one that holds a slot.
                    not each.is_complete,
                ),
            )
            await self._async_disconnect(slowest, now)
        return self.budget.has_room(_PURPOSE) and self._is_first(spool, now)

    def _is_first(self, spool: Spool, now: float) -> bool:
        """Return whether a response may grow before the others."""
        open_bytes = self.budget.share_bytes(_PURPOSE) * OPEN_SHARE
        if self.budget.held_bytes(_PURPOSE) <= open_bytes:
            return True
        growing = [each for each in self._resets if each.is_growing(now)]
        # Of equal rank, the one that was opened first.
        first = min(growing, key=lambda each: each.terms.rank, default=spool)
        return first is spool

    async def _async_disconnect(self, spool: Spool, now: float) -> None:
        self.disconnected_callers += 1
        _LOGGER.warning(
            'caller disconnected',
            request_id=spool.terms.request_id,
            rank=spool.terms.rank,
            unread_bytes=spool.held_bytes,
            stalled_ms=int(spool.stalled_ms(now)),
            bytes_per_s=int(spool.bytes_per_ms(now) * MILLIS_PER_SECOND),
            held_bytes=self.budget.held_bytes(_PURPOSE),
        )
        spool.break_off('the caller does not read and memory is short')
        await self._resets[spool]()
