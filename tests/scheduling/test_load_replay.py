"""Decisions of a cell under replayed load, in model time."""

import pytest

from bench.replay import Replay, summarize
from bench.replay_load import LoadPlan
from hornbeamdeck.scheduling import engine_choice
from hornbeamdeck.scheduling.engine_load import EngineLoad
from hornbeamdeck.scheduling.ticket import Ticket
from hornbeamdeck.scheduling.waiting_room import WaitQueue

LOAD = LoadPlan.from_name('bursts_and_losses')
SEED = 1
# Share of worth that engines picked by first token alone earn in this burst
# with no order among the routes.
WITHOUT_ORDER = 0.7256


def _replayed(*, has_route_ranks: bool = True) -> dict[str, float]:
    replay = Replay(LOAD, SEED, has_route_ranks=has_route_ranks)
    report = summarize(replay.run())
    return {
        'cost': report['cost'],
        'mean': report['mean'],
        'worst': report['worst'],
        **report['shares'],
    }


def test_a_replay_has_one_outcome() -> None:
    assert _replayed() == _replayed()


def test_urgent_kinds_keep_their_answers_in_a_burst() -> None:
    """All kinds press at twice what the engines carry, two engines crash, and
    all teams have one priority. Ordered by that alone, write-ups that a guide
    waits for are refused as often as checks.
    """
    flat = _replayed(has_route_ranks=False)
    ordered = _replayed()
    assert ordered['write_up'] > 0.8
    assert flat['write_up'] < 0.8
    assert ordered['write_up'] > ordered['question']
    assert ordered['question'] > ordered['check']
    assert ordered['mean'] > flat['mean']
    assert ordered['mean'] > WITHOUT_ORDER + 0.05
    assert ordered['worst'] > flat['worst'] + 0.1


def test_even_then_no_kind_is_starved() -> None:
    """The lowest priority is served at a quarter of the rate of the first."""
    served = _replayed()
    assert served['check'] > served['write_up'] / 4


def test_what_waits_forecast_expired_is_not_held(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """In the same burst, what urgent requests have overtaken would be held to
    the end of its wait, and refused all the same.
    """
    prompt = _replayed()
    monkeypatch.setattr(WaitQueue, '_forecast_expired', lambda *_judged: [])
    held = _replayed()
    assert prompt['cost'] < held['cost']


# What the users are promised of a day: so much of its worth on time.
AIM = 0.88


def test_long_prompts_are_on_time_where_engines_have_places() -> None:
    """Long prompts come among many streams, and engines could carry all. Kept
    off every engine that has streams until they are late, or sent to an idle
    one that is several times too slow, a quarter of the longest would be late.
    """
    plan = LoadPlan.from_name('long_prompts')
    shares = summarize(Replay(plan, SEED).run())['shares']
    assert shares['largest write_up'] > AIM
    assert min(shares.values()) > AIM


# Budget of the owner: 60 % of a core, or 1.4 ms for each of 427 requests a
# second. A quarter of it is for checks of single engines, at 1.5 us each.
MAX_CHECKS_PER_REQUEST = 234


def test_unusable_places_do_not_overload_the_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against owner overload when a quarter of the engines crash."""
    plan = LoadPlan.from_name('large_fleet')
    checked: list[str] = []
    is_eligible = engine_choice._is_eligible

    def _count(load: EngineLoad, ticket: Ticket, now: float) -> bool:
        checked.append(load.engine.name)
        return is_eligible(load, ticket, now)

    monkeypatch.setattr(engine_choice, '_is_eligible', _count)
    outcomes = Replay(plan, SEED).run()
    assert len(checked) < MAX_CHECKS_PER_REQUEST * len(outcomes)
