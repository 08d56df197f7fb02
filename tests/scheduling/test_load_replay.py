"""Decisions of a cell under replayed load, in simulated time."""

import pytest

from bench.replay import Replay, summarize
from bench.replay_account import AccountedReplay
from bench.replay_load import Burst, LoadPlan
from hornbeamdeck.scheduling import engine_choice
from hornbeamdeck.scheduling.engine_conditions import EngineConditions
from hornbeamdeck.scheduling.engine_crash_tracker import EngineCrashTracker
from hornbeamdeck.scheduling.engine_load import EngineLoad
from hornbeamdeck.scheduling.engine_witnesses import EngineWitnesses
from hornbeamdeck.scheduling.queued_request import QueuedRequest
from hornbeamdeck.scheduling.stream_origins import OriginBook
from hornbeamdeck.scheduling.wait_queue import WaitQueue

LOAD = LoadPlan.from_name('bursts_and_losses')
SEED = 1
# Share of the value that is earned in this burst if engines are chosen by the
# time to first token alone and routes are not ordered.
SHARE_WITHOUT_ROUTE_ORDER = 0.7256


def _replayed(*, has_route_ranks: bool = True) -> dict[str, float]:
    replay = Replay(LOAD, SEED, has_route_ranks=has_route_ranks)
    report = summarize(replay.run())
    return {
        'cost': report['cost'],
        'mean': report['mean'],
        'worst': report['worst'],
        **report['shares'],
    }


def test_a_replay_is_deterministic() -> None:
    assert _replayed() == _replayed()


def test_urgent_requests_are_served_in_a_burst() -> None:
    """All kinds of requests arrive at twice the rate that the engines can
    serve, two engines crash, and all teams have one priority. If that priority
    alone decided the order, urgent write-ups would be refused as often as
    checks.
    """
    flat = _replayed(has_route_ranks=False)
    ordered = _replayed()
    assert ordered['write_up'] > 0.8
    assert flat['write_up'] < 0.8
    assert ordered['write_up'] > ordered['question']
    assert ordered['question'] > ordered['check']
    assert ordered['mean'] > flat['mean']
    assert ordered['mean'] > SHARE_WITHOUT_ROUTE_ORDER + 0.05
    assert ordered['worst'] > flat['worst'] + 0.1


def test_no_kind_is_starved_in_a_burst() -> None:
    """The lowest priority is served at a quarter of the rate of the first."""
    served = _replayed()
    assert served['check'] > served['write_up'] / 4


def test_requests_that_can_not_start_in_time_are_not_held(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Requests that more urgent ones have overtaken in the same burst would be
    held until their deadline and then refused all the same.
    """
    refused_early = _replayed()
    monkeypatch.setattr(WaitQueue, '_forecast_expired', lambda *_judged: [])
    held = _replayed()
    assert refused_early['cost'] < held['cost']


# Share of a day's value that the users are promised on time.
MIN_SHARE_ON_TIME = 0.88


def test_long_prompts_are_on_time_where_engines_have_slots() -> None:
    """Long prompts arrive among many streams, and the engines could serve all.
    If prompts avoided every engine with streams until they are late, or were
    sent to an idle engine that is several times too slow, a quarter of the
    longest would be late.
    """
    plan = LoadPlan.from_name('long_prompts')
    shares = summarize(Replay(plan, SEED).run())['shares']
    assert shares['largest write_up'] > MIN_SHARE_ON_TIME
    assert min(shares.values()) > MIN_SHARE_ON_TIME


# Users require that the largest requests of a route are served at least this
# share as often as the route.
MIN_LARGEST_SHARE = 0.5


def test_uneven_engines_serve_all_routes_in_order() -> None:
    """Guards against an assignment to engines of different speed that refuses
    requests beside free slots, starves large ones, or prefers lower ranks.
    """
    replay = AccountedReplay(LoadPlan.from_name('uneven_engines'), SEED)
    shares = summarize(replay.run())['shares']
    assert 'refused beside a free slot' not in replay.sums
    assert shares['write_up'] > shares['question']
    assert shares['question'] > shares['check']
    assert shares['label'] > shares['check']
    for route in ('write_up', 'question', 'label', 'check'):
        largest = shares[f'largest {route}']
        assert largest / shares[route] > MIN_LARGEST_SHARE


def test_limited_engines_get_no_more_than_they_accept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against filling the free slots of engines that state limits."""
    plan = LoadPlan.from_name('limited_engines')
    kept = Replay(plan, SEED)
    shares = summarize(kept.run())['shares']
    assert kept.stated_limits.largest_excess() <= 0
    assert shares['write_up'] > shares['question']
    assert shares['question'] > shares['check']
    monkeypatch.setattr(EngineConditions, 'apply', lambda *_stated: None)
    ignored = Replay(plan, SEED)
    ignored.run()
    assert ignored.stated_limits.largest_excess() > 0


def test_engines_that_leave_or_rest_get_no_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against engines that look idle since they reject everything."""
    plan = LoadPlan.from_name('resting_engines')
    heeded = Replay(plan, SEED)
    report = summarize(heeded.run())
    assert heeded.stated_rests.largest_excess() <= 0
    assert heeded.stated_departures.late_arrivals == 0
    monkeypatch.setattr(EngineConditions, 'apply', lambda *_stated: None)
    ignored = Replay(plan, SEED)
    ignored_report = summarize(ignored.run())
    assert ignored.stated_rests.largest_excess() > 0
    assert ignored.stated_departures.late_arrivals > 0
    assert heeded.stated_rests.rejections < ignored.stated_rests.rejections
    assert report['mean'] > ignored_report['mean']


def test_brittle_engines_do_not_fall_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against engines that are offered what they have no room for."""
    plan = LoadPlan.from_name('brittle_engines')
    heeded = Replay(plan, SEED)
    report = summarize(heeded.run())
    assert heeded.stated_brittleness.falls == 0
    monkeypatch.setattr(EngineConditions, 'apply', lambda *_stated: None)
    ignored = Replay(plan, SEED)
    ignored_report = summarize(ignored.run())
    assert ignored.stated_brittleness.falls > 0
    assert report['mean'] > ignored_report['mean']


def test_partitioned_instances_learn_who_reaches_the_engines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against grants that name no instance with a path."""
    plan = LoadPlan.from_name('brittle_engines')
    named = Replay(plan, SEED)
    report = summarize(named.run())
    monkeypatch.setattr(EngineWitnesses, 'name_others', lambda *_asked: [])
    unnamed = Replay(plan, SEED)
    unnamed_report = summarize(unnamed.run())
    without_path = unnamed.partitions.attempts_without_path
    assert named.partitions.attempts_without_path < without_path / 10
    assert report['mean'] > unnamed_report['mean']


def test_streams_go_on_at_the_version_that_began_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against mixed streams, and against refusing to go on instead."""
    plan = LoadPlan.from_name('versions_side_by_side')
    bound = Replay(plan, SEED)
    bound.run()
    assert bound.resumed_streams.mixed == 0
    assert not bound.resumed_streams.is_refusing_too_many()
    monkeypatch.setattr(OriginBook, 'bind', lambda *_asked, **_times: True)
    unbound = Replay(plan, SEED)
    unbound.run()
    assert unbound.resumed_streams.mixed > 0


# Budget of the owner: 60 % of a core, or 1.4 ms for each of 427 requests a
# second. A quarter of it is for checks of single engines, at 1.5 us each.
MAX_CHECKS_PER_REQUEST = 234


def test_unusable_slots_do_not_overload_the_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against owner overload when a quarter of the engines crash."""
    plan = LoadPlan.from_name('large_fleet')
    checked: list[str] = []
    is_eligible = engine_choice._is_eligible

    def _count(load: EngineLoad, queued: QueuedRequest, now: float) -> bool:
        checked.append(load.engine.name)
        return is_eligible(load, queued, now)

    monkeypatch.setattr(engine_choice, '_is_eligible', _count)
    outcomes = Replay(plan, SEED).run()
    assert len(checked) < MAX_CHECKS_PER_REQUEST * len(outcomes)


# A rule of the users: of the requests with a part that crashes engines, this
# many may reach engines after five have ended.
MAX_LATER_ENDS = 3
MAX_ENDS = 5 + MAX_LATER_ENDS
# Ends within this time after the third one are not limited.
STABILITY_MS = 3000
# Another one: sound requests must begin at half their usual rate at least.
MIN_BEGUN_SHARE = 0.5


@pytest.mark.parametrize('seed', range(4))
def test_parts_that_crash_engines_are_refused(seed: int) -> None:
    """Guards against engines that end in turn, and against refusing others."""
    plan = LoadPlan.from_name('crashing_parts')
    replay = Replay(plan, seed)
    replay.run()
    ends = replay.engine_ends
    assert max(len(each) for each in ends.ends_ms.values()) <= MAX_ENDS
    assert ends.begun > MIN_BEGUN_SHARE * ends.sound


@pytest.mark.parametrize('seed', range(4))
def test_parts_that_crash_engines_are_refused_after_a_burst(seed: int) -> None:
    """Guards against engines that end together again once they are back."""
    plan = LoadPlan.from_name('crashing_parts')
    bursts = tuple(
        Burst(at_s=0, for_s=0.5, times=20, kind=each.kind)
        for each in plan.crashing
    )
    replay = Replay(plan._replace(bursts=bursts), seed)
    replay.run()
    ends = replay.engine_ends
    for ends_ms in ends.ends_ms.values():
        known_ms = ends_ms[2] + STABILITY_MS
        assert sum(each > known_ms for each in ends_ms) <= MAX_LATER_ENDS
    assert ends.begun > MIN_BEGUN_SHARE * ends.sound


def test_engines_end_in_turn_unless_parts_are_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a replay in which nothing ends engines."""
    plan = LoadPlan.from_name('crashing_parts')
    monkeypatch.setattr(
        EngineCrashTracker, 'must_refuse', lambda *_asked: False
    )
    replay = Replay(plan, SEED)
    replay.run()
    ends = replay.engine_ends.ends_ms
    assert max(len(each) for each in ends.values()) > MAX_ENDS
