"""Decides which of the responses that are read from engines may grow."""

from typing import Final

import structlog
from curio import sleep

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.byte_account import AsyncEnd
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.memory.budget import MemoryBudget, Purpose

__all__ = ('IncomingResponse', 'IncomingResponses')

_LOGGER = structlog.get_logger(prefix='memory')

_PURPOSE: Final = Purpose.ENGINE_RESPONSES
# What is read from an engine is held for its caller next.
_NEXT_PURPOSE: Final = Purpose.UNREAD_RESPONSES
# Every response may have this much, so that short ones never wait.
FREE_BYTES: Final = 65_536
# Up to this part of the limit, all responses grow. Beyond it, only the first
# does, so that some responses are complete and make room.
OPEN_SHARE: Final = 0.25
ROOM_CHECK_MS: Final = 50
# A response that has not grown for so long lets the next one grow.
GROWING_MS: Final = 2 * ROOM_CHECK_MS
# Longer than a sound engine falls silent.
STALL_MS: Final = 1500


class IncomingResponse:
    """The bytes of one response that are held until more of it has arrived."""

    def __init__(
        self, responses: 'IncomingResponses', async_end: AsyncEnd
    ) -> None:
        """Start with nothing held.

        :param async_end: breaks the connection that the response is read from.
        """
        self.held_bytes = 0
        self.has_ended = False
        self.is_waiting = False
        self.grown_ms = now_ms()
        self.async_end = async_end
        self._responses = responses

    def hold(self, held_bytes: int) -> bool:
        """Set how many bytes are held now; return whether it may grow."""
        if self.has_ended:
            return False
        self._responses.count(held_bytes - self.held_bytes)
        if held_bytes > self.held_bytes:
            self.grown_ms = now_ms()
        self.held_bytes = held_bytes
        return held_bytes <= FREE_BYTES or self._responses.may_grow(self)

    async def async_wait(self) -> bool:
        """Wait until it may grow.

        :returns: `False`: it was ended to make room.
        """
        self._responses.count_without_room()
        self.is_waiting = True
        try:
            while not self.has_ended and not self._responses.may_grow(self):
                await self._responses.async_make_room()
                await sleep(ROOM_CHECK_MS / MILLIS_PER_SECOND)
        finally:
            self.is_waiting = False
        return not self.has_ended

    def drop(self) -> None:
        """Count its bytes as no longer held."""
        self._responses.count(-self.held_bytes)
        self.held_bytes = 0
        self._responses.forget(self)


class IncomingResponses:
    """The responses that are read from engines."""

    def __init__(self, budget: MemoryBudget) -> None:
        """Start without responses."""
        self._budget = budget
        # In the order in which they were opened.
        self._open: dict[IncomingResponse, None] = {}

    def open(self, async_end: AsyncEnd) -> IncomingResponse:
        """Make what counts one response, until `drop` is called."""
        response = IncomingResponse(self, async_end)
        self._open[response] = None
        return response

    def forget(self, response: IncomingResponse) -> None:
        """Forget a response that is not held any more."""
        self._open.pop(response, None)

    def count(self, added_bytes: int) -> None:
        """Count bytes that are held from now on; less than 0: no longer."""
        self._budget.hold(_PURPOSE, added_bytes)

    def count_without_room(self) -> None:
        """Count that a response has to wait for room."""
        self._budget.count_without_room(_PURPOSE)

    def may_grow(self, response: IncomingResponse) -> bool:
        """Return whether more of a response may be read."""
        if not self._budget.has_room(_NEXT_PURPOSE):
            return False
        held_bytes = self._budget.held_bytes(_PURPOSE)
        limit_bytes = self._limit_bytes()
        if held_bytes <= limit_bytes * OPEN_SHARE:
            return True
        if held_bytes > limit_bytes:
            return response is max(self._open, key=lambda each: each.held_bytes)
        now = now_ms()
        growing = (each for each in self._open if _is_growing(each, now))
        return response is next(growing, response)

    async def async_make_room(self) -> None:
        """End the largest response that has stalled if there is no room."""
        if self._budget.held_bytes(_PURPOSE) <= self._limit_bytes():
            return
        now = now_ms()
        stalled = [each for each in self._open if _is_stalled(each, now)]
        if not stalled:
            return
        largest = max(stalled, key=lambda each: each.held_bytes)
        _LOGGER.warning(
            'response ended for room',
            response_bytes=largest.held_bytes,
            stalled_ms=int(now - largest.grown_ms),
            held_bytes=self._budget.held_bytes(_PURPOSE),
        )
        largest.has_ended = True
        largest.drop()
        await largest.async_end()

    def _limit_bytes(self) -> int:
        """Return how much may be held, with what callers have left unused."""
        unused_bytes = self._budget.share_bytes(
            _NEXT_PURPOSE
        ) - self._budget.held_bytes(_NEXT_PURPOSE)
        return self._budget.share_bytes(_PURPOSE) + max(unused_bytes, 0)


def _is_growing(response: IncomingResponse, now: float) -> bool:
    if response.held_bytes <= FREE_BYTES:
        return False
    return response.is_waiting or now - response.grown_ms < GROWING_MS


def _is_stalled(response: IncomingResponse, now: float) -> bool:
    if response.held_bytes <= FREE_BYTES or response.is_waiting:
        return False
    return now - response.grown_ms > STALL_MS
