"""Tests of which responses may grow while they are read."""

from curio import sleep, spawn

from hornbeamdeck.const import MEBIBYTE
from hornbeamdeck.memory.budget import MemoryBudget, Purpose
from hornbeamdeck.memory.incoming_responses import (
    FREE_BYTES,
    STALL_MS,
    IncomingResponse,
    IncomingResponses,
)
from tests.support import curio_test

STALL_S = STALL_MS / 1000


class _Opened:
    """Responses that share a budget, and the ends of their connections."""

    def __init__(self) -> None:
        self.budget = MemoryBudget(8 * MEBIBYTE)
        self.share = self.budget.share_bytes(
            Purpose.ENGINE_RESPONSES
        ) + self.budget.share_bytes(Purpose.UNREAD_RESPONSES)
        self.ended: list[str] = []
        self._responses = IncomingResponses(self.budget)

    def open(self, name: str) -> IncomingResponse:
        async def _async_end() -> None:
            self.ended.append(name)

        return self._responses.open(_async_end)


def test_only_the_first_grows_beyond_the_open_part() -> None:
    """Guards against responses that all grow and of which none is complete."""
    opened = _Opened()
    first, second = opened.open('first'), opened.open('second')
    assert first.hold(opened.share // 8)
    assert second.hold(opened.share // 8)
    assert not second.hold(opened.share // 2)
    assert first.hold(opened.share // 2 - 1)
    first.drop()
    second.drop()
    assert not opened.budget.held_bytes(Purpose.ENGINE_RESPONSES)


def test_short_response_grows_though_all_is_used_up() -> None:
    """Guards against short responses that wait for endless ones."""
    opened = _Opened()
    opened.open('large').hold(2 * opened.share)
    assert opened.open('short').hold(FREE_BYTES)
    assert not opened.open('long').hold(FREE_BYTES + 1)


def test_largest_response_goes_on_beyond_the_share() -> None:
    """Guards against an allowed body that is larger than the share."""
    opened = _Opened()
    opened.open('other').hold(opened.share // 2)
    largest = opened.open('largest')
    assert largest.hold(2 * opened.share)


def test_responses_wait_while_callers_have_used_up_their_share() -> None:
    """Guards against complete responses that pile up for slow callers."""
    opened = _Opened()
    purpose = Purpose.UNREAD_RESPONSES
    unread_bytes = opened.budget.share_bytes(purpose) + 1
    opened.budget.hold(purpose, unread_bytes)
    response = opened.open('response')
    assert response.hold(FREE_BYTES)
    assert not response.hold(FREE_BYTES + 1)
    opened.budget.drop(purpose, unread_bytes)
    assert response.hold(FREE_BYTES + 1)


@curio_test
async def test_stalled_response_is_ended_for_one_that_waits() -> None:
    """Guards against an engine that fills the memory and falls silent."""
    opened = _Opened()
    stalled, waiting = opened.open('stalled'), opened.open('waiting')
    stalled.hold(2 * opened.share)
    assert not waiting.hold(FREE_BYTES + 1)
    grown = await spawn(waiting.async_wait)
    await sleep(STALL_S / 2)
    assert not opened.ended
    assert await grown.join()
    assert opened.ended == ['stalled']
    assert stalled.has_ended
    assert not stalled.hold(1)
    assert opened.budget.held_bytes(Purpose.ENGINE_RESPONSES) == FREE_BYTES + 1
