"""Traces with stated outcomes, replayed in the users' terms."""

import json
import pathlib
from collections import Counter
from typing import Any, NamedTuple

import curio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from hornbeamdeck.demo.caller import CallRecord
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.demo.replay import async_replay
from hornbeamdeck.demo.trace import TraceEntry

scenarios('features/outcomes.feature')

TRACES = pathlib.Path(__file__).parent / 'traces'
SPEEDS = {'one engine': (1.0,), 'two engines': (1.0, 1.0)}


class Seen(NamedTuple):
    """What a replay showed."""

    records: list[CallRecord]
    runs: Counter[str]
    booked: dict[str, int]
    peak_running: int


def _load(name: str) -> list[TraceEntry]:
    raw = json.loads((TRACES / f'{name}.json').read_text())
    return [TraceEntry.from_config(each) for each in raw]


async def _async_replay(
    plan: FleetPlan,
    switches: dict[str, Any],
    name: str,
    break_after_s: float | None,
) -> Seen:
    fleet = await Fleet.async_start(plan)
    fleet.platform.switches = fleet.platform.switches._replace(**switches)
    records: list[CallRecord] = []
    addresses = [each.own.address for each in fleet.instances]
    replay = await curio.spawn(
        async_replay,
        _load(name),
        addresses,
        records.append,
    )
    if break_after_s is not None:
        await curio.sleep(break_after_s)
        outage = fleet.engines[0].on_outage
        assert outage is not None
        await outage(200)
    await replay.join()
    runs = fleet.runs_by_request()
    await fleet.async_stop()
    most = max(each.batch.peak_running for each in fleet.engines)
    return Seen(records, runs, dict(fleet.booking.runs), most)


@pytest.fixture
def switches() -> dict[str, Any]:
    """Give no faults, unless a step brings some about."""
    return {}


@given(parsers.parse('a fleet with {engines}'), target_fixture='plan')
def _plan(engines: str) -> FleetPlan:
    return FleetPlan(speeds=SPEEDS[engines], max_running=6)


@given('the platform is down', target_fixture='switches')
def _down() -> dict[str, Any]:
    return {'is_down': True}


@given(
    parsers.parse(
        'the platform loses the answers to its next {count:d} writes'
    ),
    target_fixture='switches',
)
def _lost(count: int) -> dict[str, Any]:
    return {'lost_answers': count}


@when(
    parsers.re('the trace "(?P<name>[a-z-]+)" is replayed$'),
    target_fixture='seen',
)
def _replay(plan: FleetPlan, switches: dict[str, Any], name: str) -> Seen:
    seen: Seen = curio.run(_async_replay, plan, switches, name, None)
    return seen


@when(
    parsers.parse(
        'the trace "{name}" is replayed and an engine breaks meanwhile'
    ),
    target_fixture='seen',
)
def _replay_broken(plan: FleetPlan, name: str) -> Seen:
    seen: Seen = curio.run(_async_replay, plan, {}, name, 0.4)
    return seen


@then('every booking was made exactly once')
def _once(seen: Seen) -> None:
    keys = {record.entry.idempotency_key for record in seen.records}
    assert seen.booked == dict.fromkeys(keys, 1)


@then('no booking was made')
def _none(seen: Seen) -> None:
    assert not seen.booked


@then('every call was answered whole or told to ask again')
def _whole(seen: Seen) -> None:
    # A copy that overtakes the first one's end is told to ask again.
    others = {each.status for each in seen.records if not each.is_whole}
    assert others <= {409}


@then('every booking was refused as not run')
def _refused(seen: Seen) -> None:
    words = {(each.status, each.outcome) for each in seen.records}
    assert words == {(503, 'not_run')}


@then('every refusal says when to come back')
def _come_back(seen: Seen) -> None:
    assert all(each.retry_after_s for each in seen.records)


@then(parsers.parse('every call of tier "{tier}" was answered whole'))
def _tier_whole(seen: Seen, tier: str) -> None:
    asked = [each for each in seen.records if each.entry.tier == tier]
    assert asked
    assert all(each.is_whole for each in asked)


@then(
    parsers.parse(
        'the engine was never given more than {most:d} answers at a time',
    ),
)
def _limit(seen: Seen, most: int) -> None:
    assert 0 < seen.peak_running <= most


@then('no answer was wrong, cut and ended cleanly')
def _not_cut(seen: Seen) -> None:
    ran = [each for each in seen.records if each.outcome == 'ran']
    assert ran
    assert all(each.is_whole for each in ran)


@then('no request was dispatched twice')
def _not_twice(seen: Seen) -> None:
    assert set(seen.runs.values()) == {1}


@then('what was said not to run did not run')
def _truthful(seen: Seen) -> None:
    for record in seen.records:
        if record.outcome == 'not_run':
            assert record.request_id not in seen.runs
