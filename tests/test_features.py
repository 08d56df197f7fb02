"""Steps of the feature tests; they replay traces on an in-process fleet."""

import json
import pathlib
from collections import Counter
from typing import Any, NamedTuple

import curio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from hornbeamdeck.demo.client import CallResult
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.demo.replay import async_replay_trace
from hornbeamdeck.demo.trace import TraceEntry

scenarios('features/outcomes.feature')

TRACES = pathlib.Path(__file__).parent / 'traces'
SPEEDS = {'one engine': (1.0,), 'two engines': (1.0, 1.0)}


class ReplayResult(NamedTuple):
    """Results of a replay and counters of the stand-ins."""

    records: list[CallResult]
    runs: Counter[str]
    bookings: dict[str, int]
    peak_running: int


def _load_trace(name: str) -> list[TraceEntry]:
    raw = json.loads((TRACES / f'{name}.json').read_text())
    return [TraceEntry.from_config(each) for each in raw]


async def _async_replay(
    plan: FleetPlan,
    switches: dict[str, Any],
    name: str,
    outage_after_s: float | None,
) -> ReplayResult:
    fleet = await Fleet.async_start(plan)
    fleet.platform.switches = fleet.platform.switches._replace(**switches)
    records: list[CallResult] = []
    addresses = [each.own.address for each in fleet.instances]
    replay = await curio.spawn(
        async_replay_trace,
        _load_trace(name),
        addresses,
        records.append,
    )
    if outage_after_s is not None:
        await curio.sleep(outage_after_s)
        outage = fleet.engines[0].on_outage
        assert outage is not None
        await outage(200)
    await replay.join()
    runs = fleet.runs_by_request()
    await fleet.async_stop()
    peak = max(each.batch.peak_running for each in fleet.engines)
    return ReplayResult(records, runs, dict(fleet.booking_service.runs), peak)


@pytest.fixture
def switches() -> dict[str, Any]:
    """Return no faults; a step that simulates faults replaces this fixture."""
    return {}


@given(parsers.parse('a fleet with {engines}'), target_fixture='plan')
def _fleet_plan(engines: str) -> FleetPlan:
    return FleetPlan(speeds=SPEEDS[engines], max_running=6)


@given('the platform is down', target_fixture='switches')
def _platform_down() -> dict[str, Any]:
    return {'is_down': True}


@given(
    parsers.parse(
        'the platform loses the responses to its next {count:d} writes'
    ),
    target_fixture='switches',
)
def _lost_responses(count: int) -> dict[str, Any]:
    return {'lost_answers': count}


@when(
    parsers.re('the trace "(?P<name>[a-z-]+)" is replayed$'),
    target_fixture='replay_result',
)
def _replay_trace(
    plan: FleetPlan, switches: dict[str, Any], name: str
) -> ReplayResult:
    replay_result: ReplayResult = curio.run(
        _async_replay, plan, switches, name, None
    )
    return replay_result


@when(
    parsers.parse(
        'the trace "{name}" is replayed and an engine breaks during the replay'
    ),
    target_fixture='replay_result',
)
def _replay_with_outage(plan: FleetPlan, name: str) -> ReplayResult:
    replay_result: ReplayResult = curio.run(_async_replay, plan, {}, name, 0.4)
    return replay_result


@then('every booking was made exactly once')
def _booked_exactly_once(replay_result: ReplayResult) -> None:
    keys = {record.entry.idempotency_key for record in replay_result.records}
    assert replay_result.bookings == dict.fromkeys(keys, 1)


@then('no booking was made')
def _nothing_booked(replay_result: ReplayResult) -> None:
    assert not replay_result.bookings


@then('every call got a complete response or status 409')
def _complete_or_conflict(replay_result: ReplayResult) -> None:
    # 409: a repeated call arrived while the first one was still running.
    incomplete_statuses = {
        each.status for each in replay_result.records if not each.is_complete
    }
    assert incomplete_statuses <= {409}


@then('every booking was refused as not run')
def _all_refused(replay_result: ReplayResult) -> None:
    outcomes = {(each.status, each.outcome) for each in replay_result.records}
    assert outcomes == {(503, 'not_run')}


@then('every refusal has a retry-after time')
def _refusals_have_retry_after(replay_result: ReplayResult) -> None:
    assert all(each.retry_after_s for each in replay_result.records)


@then(parsers.parse('every call of tier "{tier}" got a complete response'))
def _tier_complete(replay_result: ReplayResult, tier: str) -> None:
    tier_records = [
        each for each in replay_result.records if each.entry.tier == tier
    ]
    assert tier_records
    assert all(each.is_complete for each in tier_records)


@then(
    parsers.parse(
        'the engine never ran more than {limit:d} requests at the same time',
    ),
)
def _concurrency_limit(replay_result: ReplayResult, limit: int) -> None:
    assert 0 < replay_result.peak_running <= limit


@then('no cleanly ended response was wrong or truncated')
def _clean_responses_complete(replay_result: ReplayResult) -> None:
    ran = [each for each in replay_result.records if each.outcome == 'ran']
    assert ran
    assert all(each.is_complete for each in ran)


@then('no request ran more than once')
def _no_repeated_run(replay_result: ReplayResult) -> None:
    assert set(replay_result.runs.values()) == {1}


@then('no request reported as not run has run')
def _not_run_is_true(replay_result: ReplayResult) -> None:
    for record in replay_result.records:
        if record.outcome == 'not_run':
            assert record.request_id not in replay_result.runs
