"""Opens the spools of a process, and ends the slowest when memory is short."""

from collections.abc import Awaitable, Callable
from typing import Final, Self, TypeAlias

import structlog
from curio import socket

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.memory.budget import Account, MemoryBudget, Purpose
from hornbeamdeck.memory.spool import Spool, SpoolTerms

__all__ = ('Spools',)

_LOGGER = structlog.get_logger(prefix='memory')

# Less urgent responses are held up to this part of the share while something
# is held for a more urgent one.
LESS_URGENT_SHARE: Final = 0.75
_PURPOSE: Final = Purpose.UNREAD_RESPONSES

AsyncReset: TypeAlias = Callable[[], Awaitable[None]]


class Spools:
    """The responses that callers have not read yet."""

    def __init__(self, budget: MemoryBudget) -> None:
        """Start without responses."""
        self.disconnected_callers = 0
        self.budget = budget
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

        If not, the slowest of the least urgent callers that have stopped
        reading is disconnected.
        """
        if self._has_room(spool):
            return True
        now = now_ms()
        stalled = [
            each
            for each in self._resets
            if each.stalled_ms(now) > each.terms.stall_ms
        ]
        if stalled:
            slowest = max(
                stalled,
                key=lambda each: (each.terms.rank, -each.bytes_per_ms(now)),
            )
            await self._async_disconnect(slowest, now)
        return self._has_room(spool)

    def _has_room(self, spool: Spool) -> bool:
        if not self.budget.has_room(_PURPOSE):
            return False
        limit_bytes = self.budget.share_bytes(_PURPOSE) * LESS_URGENT_SHARE
        if self.budget.held_bytes(_PURPOSE) <= limit_bytes:
            return True
        return not any(
            each.held_bytes and each.terms.rank < spool.terms.rank
            for each in self._resets
        )

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
