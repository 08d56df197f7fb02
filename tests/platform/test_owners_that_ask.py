"""Streams that are left before their engine has stated its start."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from curio import sleep

from hornbeamdeck.clock import now_ms
from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.standins import EngineStandin
from tests.platform.stream_caller import StreamCaller

ANSWER_S = 0.1


async def _async_ask_once(fleet: PlatformFleet, gateway: int) -> None:
    """Read a stream of v1, after which an engine has stated its start."""
    for engine in fleet.model_engines:
        engine.events = 6
        engine.event_gap_s = 0.05
        engine.run_version('v1')
    early = StreamCaller(fleet, 'early')
    await early.async_begin(gateway)
    assert await early.async_read_all()


@contextmanager
def _late_statements() -> Iterator[None]:
    """Let engines state their start after `ANSWER_S`."""
    answer = EngineStandin.async_report

    async def _async_report_late(*called: Any) -> None:
        await sleep(ANSWER_S)
        await answer(*called)

    with patch.object(EngineStandin, 'async_report', _async_report_late):
        yield


@on_platform(count=3)
async def test_an_owner_asks_where_the_instance_died_first(
    fleet: PlatformFleet,
) -> None:
    """Guards against refusing streams whose engine could still be asked."""
    owner, _, last = fleet.ranked_gateways()
    await _async_ask_once(fleet, owner)
    for engine in fleet.model_engines:
        engine.report = 'hang'
    caller = StreamCaller(fleet, 'first')
    await caller.async_begin(last)
    await sleep(0.05)
    await fleet.gateways[last].async_kill()
    for engine in fleet.model_engines:
        engine.report = 'born'
    assert await caller.async_resume(owner) == 200


@on_platform(count=2)
async def test_a_statement_counts_after_its_caller_has_left(
    fleet: PlatformFleet,
) -> None:
    """Guards against answers that are lost because the run has ended."""
    owner, other = fleet.ranked_gateways()
    await _async_ask_once(fleet, owner)
    with _late_statements():
        caller = StreamCaller(fleet, 'first')
        await caller.async_begin(other)
        await caller.async_leave()
        await sleep(2 * ANSWER_S)
        assert await caller.async_resume(owner) == 200


@on_platform(count=2)
async def test_a_late_statement_reaches_the_owner(
    fleet: PlatformFleet,
) -> None:
    """Guards against losing what an engine that ends later has stated."""
    owner, other = fleet.ranked_gateways()
    await _async_ask_once(fleet, owner)
    with _late_statements():
        caller = StreamCaller(fleet, 'first')
        await caller.async_begin(other)
        await caller.async_leave()
        await sleep(2 * ANSWER_S)
    book = fleet.gateways[owner].components.cells.cells['desk'].origins
    origins = book.changed_since(0, 'reader', now_ms())
    assert {each.request_id: each.is_certain for each in origins}['first']
