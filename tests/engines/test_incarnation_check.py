"""Questions to engines for the start of their incarnation."""

import math
from collections.abc import Callable, Coroutine
from typing import Any
from unittest import mock

import curio
import pytest

from hornbeamdeck.clock import now_ms
from hornbeamdeck.engines.incarnation_check import IncarnationCheck
from hornbeamdeck.scheduling.incarnations import IncarnationBook
from hornbeamdeck.wire import Grant

BORN_MS = 7
GRANT = Grant(
    request_id='r',
    cell='desk',
    upstream='desk-1',
    address='127.0.0.1:1',
    born_ms=BORN_MS,
)
HANG_S = 3600
TAKES_S = 0.05
Play = Callable[[], Coroutine[Any, Any, None]]


class _Engine:
    """Answers with `stated` after `takes_s`."""

    def __init__(self, stated: int | None, takes_s: float = 0) -> None:
        self.asked = 0
        self.asked_at_once = 0
        self._in_flight = 0
        self._stated = stated
        self._takes_s = takes_s

    async def async_ask(self, _grant: Grant) -> int | None:
        self.asked += 1
        self._in_flight += 1
        self.asked_at_once = max(self.asked_at_once, self._in_flight)
        try:
            await curio.sleep(self._takes_s)
        finally:
            self._in_flight -= 1
        return self._stated


def _check(engine: _Engine) -> IncarnationCheck:
    book = IncarnationBook(lambda *_: -math.inf)
    return IncarnationCheck(book, engine.async_ask)


async def _async_start(check: IncarnationCheck) -> mock.AsyncMock:
    """Ask in the background, and wait for the end."""
    on_verdict = mock.AsyncMock()
    await check.async_start(GRANT, now_ms(), on_verdict)
    await curio.sleep(TAKES_S)
    return on_verdict


def _run(play: Play) -> None:
    curio.run(play)


def test_a_statement_counts_for_connections_opened_before() -> None:
    """Guards against a statement that stands for a later incarnation."""
    engine = _Engine(BORN_MS)

    async def _async_play() -> None:
        check = _check(engine)
        assert await check.async_is_certain(GRANT, now_ms())
        assert await check.async_is_certain(GRANT, now_ms() - 1000)
        assert engine.asked == 1
        assert await check.async_is_certain(GRANT, now_ms())
        assert engine.asked == 2

    _run(_async_play)


def test_another_incarnation_is_not_certain() -> None:
    """Guards against an engine that has restarted under its name."""
    engine = _Engine(BORN_MS + 1)

    async def _async_play() -> None:
        check = _check(engine)
        assert not await check.async_is_certain(GRANT, now_ms())
        on_verdict = await _async_start(check)
        on_verdict.assert_awaited_once_with(False)  # noqa: FBT003

    _run(_async_play)


def test_streams_of_an_engine_share_a_question() -> None:
    """Guards against one question for each of a burst of streams."""
    engine = _Engine(BORN_MS, TAKES_S)

    async def _async_play() -> None:
        check = _check(engine)
        async with curio.TaskGroup() as group:
            for _ in range(20):
                await group.spawn(check.async_is_certain, GRANT, now_ms())
                await curio.sleep(TAKES_S / 100)
        assert all(group.results)
        assert engine.asked_at_once == 1
        assert engine.asked <= 3

    _run(_async_play)


def test_a_question_outlasts_the_request_that_asked_it() -> None:
    """Guards against waiting for an answer that nobody waits for any more."""
    engine = _Engine(BORN_MS, TAKES_S)

    async def _async_play() -> None:
        check = _check(engine)
        connected_ms = now_ms()
        first = await curio.spawn(check.async_is_certain, GRANT, connected_ms)
        second = await curio.spawn(check.async_is_certain, GRANT, connected_ms)
        await curio.sleep(TAKES_S / 5)
        await first.cancel()
        assert await second.join()
        assert engine.asked == 1

    _run(_async_play)


@pytest.mark.parametrize(('stated', 'takes_s'), [(0, 0), (BORN_MS, HANG_S)])
def test_an_engine_that_states_nothing_is_asked_again_only_if_needed(
    stated: int, takes_s: float
) -> None:
    """Guards against questions without end to an engine that knows none."""
    engine = _Engine(stated, takes_s)

    async def _async_play() -> None:
        check = _check(engine)
        began_ms = now_ms()
        assert not await check.async_is_certain(GRANT, began_ms)
        assert now_ms() - began_ms < 600
        await curio.sleep(TAKES_S)
        await _async_start(check)
        assert engine.asked == 1
        assert not await check.async_is_certain(GRANT, now_ms())
        assert engine.asked == 2

    _run(_async_play)


def test_an_engine_that_was_not_reached_is_asked_again() -> None:
    """Guards against taking an engine that restarts for one without answer."""
    engine = _Engine(None)

    async def _async_play() -> None:
        check = _check(engine)
        assert not await check.async_is_certain(GRANT, now_ms())
        await _async_start(check)
        assert engine.asked == 2

    _run(_async_play)


def test_what_a_statement_confirms_is_reported() -> None:
    """Guards against an owner that never hears of the evidence."""

    async def _async_play() -> None:
        on_verdict = await _async_start(_check(_Engine(BORN_MS)))
        on_verdict.assert_awaited_once_with(True)  # noqa: FBT003

    _run(_async_play)


def test_an_engine_without_a_start_is_not_asked() -> None:
    """Guards against a question whose answer can't be compared."""
    engine = _Engine(BORN_MS)
    unborn = Grant(request_id='r', cell='desk', upstream='desk-1')

    async def _async_play() -> None:
        check = _check(engine)
        assert not await check.async_is_certain(unborn, now_ms())
        assert not engine.asked

    _run(_async_play)
