"""How work waits before engines, is turned away and is placed."""

from typing import Any

import pytest

from hornbeamdeck.scheduling.cell import Refused
from hornbeamdeck.scheduling.cell_door import Shared
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.retry_budget import RetryBudget
from hornbeamdeck.scheduling.waiting_room import WaitQueue
from hornbeamdeck.wire import Progress, RefusalReason, Register, Release, RunEnd
from tests.scheduling.routed import (
    MODEL,
    PLAIN,
    ask,
    cell,
    engine,
    granted,
    offer,
    quotas,
    team,
)


def _release(request_id: str, end: RunEnd) -> Release:
    return Release(
        request_id=request_id,
        cell='desk',
        end=end,
        total_ms=100,
    )


def _reason(refused: object) -> RefusalReason:
    assert isinstance(refused, Refused)
    return RefusalReason(refused.refusal.reason)


def test_no_engine_gets_more_than_it_works_on_at_once() -> None:
    """Engines know no priorities. What waits in an engine's own queue waits in
    front of every urgent request that comes later.
    """
    desk = cell(engine('e1'), engine('e2'))
    for number in range(10):
        offer(desk, ask(f'r{number}'))
    assert len(granted(desk)) == 4
    assert max(len(load.runs) for load in desk.loads.values()) == 2


def test_a_place_that_comes_free_goes_to_who_must_start_first() -> None:
    desk = cell(engine('e1', slots=1))
    offer(desk, ask('runs', output_tokens=20))
    assert granted(desk) == [('runs', 'e1')]
    offer(desk, ask('relaxed', objective_ms=2000))
    offer(desk, ask('urgent', objective_ms=500))
    desk.release(_release('runs', RunEnd.ANSWERED), 50)
    assert granted(desk, 50) == [('urgent', 'e1')]


def test_a_burst_is_refused_at_its_arrival() -> None:
    """A burst brings more than can start in time. Those that would wait past
    their objective hear at once when to come back; the first ones do not wait
    in vain for them.
    """
    desk = cell(engine('e1'), engine('e2'))
    short = [ask(f'r{number}', output_tokens=20) for number in range(200)]
    refused = [offer(desk, request) for request in short]
    granted(desk)
    late = [offer(desk, ask(f'late-{number}')) for number in range(200)]
    kept = sum(each is None for each in late)
    assert 0 < kept < 60
    assert {_reason(each) for each in late if each} == {
        RefusalReason.OVERLOADED,
    }
    assert refused[0] is None


def test_what_can_not_start_in_time_is_refused_though_few_wait() -> None:
    """All places are taken by long answers. Places came free often before, but
    no more do in time; let in by the mean, the next requests would wait in
    vain.
    """
    desk = cell(engine('e1'))
    for number in range(2):
        offer(desk, ask(f'long-{number}', output_tokens=2000))
    assert len(granted(desk)) == 2
    assert _reason(offer(desk, ask('next'))) == RefusalReason.OVERLOADED
    short = cell(engine('e1'))
    for number in range(2):
        offer(short, ask(f'short-{number}', output_tokens=20))
    assert len(granted(short)) == 2
    assert offer(short, ask('next')) is None


def test_returning_callers_are_told_different_times() -> None:
    """All refused callers honour what they are told. Told the same time, they
    come back as the same burst.
    """
    desk = cell(engine('e1', slots=1))
    offer(desk, ask('runs'))
    granted(desk)
    told = []
    for number in range(300):
        refused = offer(desk, ask(f'r{number}'))
        if isinstance(refused, Refused):
            told.append(refused.refusal.retry_after_ms)
    assert len(told) > 100
    assert len(set(told)) > 50
    assert max(told) <= 5000


def test_who_returns_goes_behind_who_can_be_on_time() -> None:
    """A refused caller comes back when its answer is late whatever happens.
    Placed first, it would make a fresh request late as well.
    """
    desk = cell(engine('e1', slots=1))
    offer(desk, ask('runs'))
    granted(desk)
    for number in range(200):
        if offer(desk, ask(f'r{number}', fingerprint='same')) is not None:
            break
    for number in range(200):
        desk.withdraw(f'r{number}')
    offer(desk, ask('again', fingerprint='same'), now=1500)
    offer(desk, ask('fresh'), now=1510)
    desk.release(_release('runs', RunEnd.ANSWERED), 1520)
    assert granted(desk, 1520) == [('fresh', 'e1')]
    desk.release(_release('fresh', RunEnd.ANSWERED), 1600)
    assert granted(desk, 1600) == [('again', 'e1')]


def test_who_waited_in_vain_gets_its_final_word() -> None:
    desk = cell(engine('e1', slots=1))
    offer(desk, ask('runs', output_tokens=170))
    granted(desk)
    offer(desk, ask('waits', objective_ms=2000, patience_ms=900))
    assert not list(desk.expire(800))
    expired = list(desk.expire(1000))
    assert [_reason(each) for each in expired] == [RefusalReason.DEADLINE]
    assert not len(desk)


def test_a_long_prompt_keeps_off_streams_that_it_would_stop() -> None:
    """A slow engine reads a long prompt in chunks between the words of the
    streams beside it. Their readers would see a pause beyond what their route
    allows, though every place was free.
    """
    desk = cell(engine('slow'), engine('fast'))
    desk.loads['slow'].slowness = 5.0
    offer(desk, ask('stream', excluded=['fast']))
    assert granted(desk) == [('stream', 'slow')]
    desk.progress(
        Progress(request_id='stream', cell='desk', first_token_ms=60),
        60,
    )
    long = ask('long', prompt_tokens=9000, excluded=['fast'], objective_ms=9000)
    offer(desk, long, now=70)
    assert not granted(desk, 70)
    offer(desk, ask('other', prompt_tokens=9000, objective_ms=1000), now=80)
    assert granted(desk, 80) == [('other', 'fast')]


def _streaming_at(desk: EngineCell, name: str, **changes: object) -> None:
    others = [other for other in desk.loads if other != name]
    offer(desk, ask(f'stream-{name}', excluded=others, **changes))
    assert granted(desk) == [(f'stream-{name}', name)]
    message = Progress(
        request_id=f'stream-{name}', cell='desk', first_token_ms=60
    )
    desk.progress(message, 60)


def _desk_with_streams(**changes: object) -> EngineCell:
    """Two engines of which each makes long pauses in the stream that it has."""
    desk = cell(engine('e1'), engine('e2'))
    for name in ('e1', 'e2'):
        desk.loads[name].slowness = 3.0
        _streaming_at(desk, name, **changes)
    return desk


def test_a_long_prompt_starts_while_it_can_still_be_on_time() -> None:
    """Every engine has a stream that a long prompt would stop for a moment.
    Kept off until it is late, the prompt's caller waits for a place that was
    there all the while; the streams are chat of a lower priority.
    """
    desk = _desk_with_streams(gap_ms=300, route_rank=2)
    long = ask('long', prompt_tokens=9000, objective_ms=1200, route_rank=0)
    offer(desk, long, now=100)
    assert not granted(desk, 100)
    assert [request for request, _ in granted(desk, 750)] == ['long']


def test_a_long_prompt_of_chat_does_not_break_urgent_streams() -> None:
    desk = _desk_with_streams(gap_ms=300, route_rank=0, output_tokens=900)
    long = ask('long', prompt_tokens=9000, objective_ms=1200, route_rank=2)
    offer(desk, long, now=700)
    assert not granted(desk, 700)
    assert not granted(desk, 1500)


def test_what_a_slow_engine_can_not_do_in_time_waits_for_a_fast_one() -> None:
    """One engine idles and is five times slower than the one that is full for a
    moment. Sent there at once, a long prompt's first word comes when its caller
    has given it up for late.
    """
    desk = cell(engine('fast', slots=1), engine('slow', slots=1))
    desk.loads['slow'].slowness = 5.0
    offer(desk, ask('runs', excluded=['slow']))
    assert granted(desk) == [('runs', 'fast')]
    offer(desk, ask('long', prompt_tokens=9000, objective_ms=600), now=10)
    assert not granted(desk, 10)
    desk.release(_release('runs', RunEnd.ANSWERED), 100)
    grants = list(desk.grants(100))
    assert [grant.upstream for grant in grants] == ['fast']
    assert grants[0].held_for == 'it would be late there'


def test_an_engine_four_times_slower_than_modelled_is_found_so() -> None:
    """Pauses are learned as multiples of an engine's speed, so that what one
    engine shows holds for its faster neighbours.
    """
    desk = cell(engine('e1', slots=8))
    load = desk.loads['e1']
    load.slowness = 4.0
    before_ms = load.gap_ms(40_000, 0)
    now = 0.0
    for number in range(12):
        stream, long = f'stream-{number}', f'long-{number}'
        offer(desk, ask(stream, gap_ms=9000, objective_ms=9000), now=now)
        granted(desk, now)
        _first_token(desk, stream, now + 60)
        request = ask(long, prompt_tokens=40_000, objective_ms=9000)
        offer(desk, request, now=now + 100)
        granted(desk, now + 100)
        _first_token(desk, long, now + 3700)
        ended = _release(stream, RunEnd.ANSWERED)
        ended.longest_gap_ms = int(before_ms / 4)
        desk.release(ended, now + 4000)
        desk.release(_release(long, RunEnd.ANSWERED), now + 4000)
        now += 10_000
    load.slowness = 4.0
    assert load.gap_ms(40_000, now) < before_ms / 3


def _first_token(desk: EngineCell, request_id: str, now: float) -> None:
    run = desk.loads['e1'].runs[request_id]
    message = Progress(
        request_id=request_id,
        cell='desk',
        first_token_ms=int(now - run.started_ms),
    )
    desk.progress(message, now)


def test_the_speed_of_an_engine_is_learned_from_first_tokens() -> None:
    """Engines differ several times in speed and say nothing of it. Taken for
    alike, the slow ones make every third answer late.
    """
    desk = cell(engine('e1', slots=8), engine('e2', slots=8))
    now = 0.0
    for number in range(12):
        for name, factor in (('e1', 1), ('e2', 4)):
            other = 'e2' if name == 'e1' else 'e1'
            request_id = f'{name}-{number}'
            request = ask(request_id, prompt_tokens=6000, excluded=[other])
            offer(desk, request, now=now)
            granted(desk, now)
            took_ms = 120 * factor
            desk.progress(
                Progress(
                    request_id=request_id,
                    cell='desk',
                    first_token_ms=took_ms,
                ),
                now + took_ms,
            )
            desk.release(_release(request_id, RunEnd.ANSWERED), now + took_ms)
            now += 1000
    slow = desk.loads['e2'].slowness
    fast = desk.loads['e1'].slowness
    assert 3 < slow / fast < 5
    offer(desk, ask('next', prompt_tokens=6000), now=now)
    assert granted(desk, now) == [('next', 'e1')]


def test_an_engine_that_fails_gets_less_and_is_tried_again() -> None:
    """An engine fails part of its requests while its health check is good.
    Judged by its outcomes, it is passed over for a while, not for ever.
    """
    desk = cell(engine('good', slots=9), engine('grey', slots=9), traits=PLAIN)
    for number in range(10):
        offer(desk, ask(f'r{number}', excluded=['good']))
        granted(desk)
        desk.release(_release(f'r{number}', RunEnd.FAILED), 10)
    offer(desk, ask('next'), now=20)
    assert granted(desk, 20) == [('next', 'good')]
    assert desk.loads['grey'].health.failure_rate('z1', 30_000) < 0.01


def test_a_fault_seen_from_one_zone_counts_for_that_zone() -> None:
    desk = cell(engine('e1'))
    offer(desk, ask('r1', zone='z2'))
    granted(desk)
    desk.release(_release('r1', RunEnd.NOT_DISPATCHED), 10)
    assert desk.loads['e1'].health.is_in_backoff('z2', 20)
    assert not desk.loads['e1'].health.is_in_backoff('z1', 20)


def test_a_new_incarnation_inherits_nothing() -> None:
    """An engine starts again under its name. Its old runs would fill its
    places for ever, since nobody reports their end.
    """
    desk = cell(engine('e1'))
    offer(desk, ask('r1'))
    granted(desk)
    desk.adopt([engine('e1', born_ms=2)], desk.loads['e1'].traits, {})
    assert not desk.loads['e1'].runs


def test_a_leaving_engine_is_not_granted() -> None:
    desk = cell(engine('e1'), engine('e2'))
    leaving = engine('e1', is_leaving=True)
    desk.adopt([leaving, engine('e2')], desk.loads['e1'].traits, {})
    for number in range(4):
        offer(desk, ask(f'r{number}'))
    assert {name for _, name in granted(desk)} == {'e2'}


def test_a_lost_ingress_takes_its_runs_with_it() -> None:
    desk = cell(engine('e1', slots=1))
    offer(desk, ask('r1'))
    granted(desk)
    desk.drop_sender('s')
    offer(desk, ask('r2'))
    assert granted(desk) == [('r2', 'e1')]


def _granted_elsewhere() -> Register:
    return Register(
        request_id='old',
        cell='desk',
        upstream='e1',
        prompt_tokens=10,
        output_tokens=10,
        is_prefilling=False,
        fingerprint='f',
    )


def test_runs_registered_with_a_new_owner_hold_their_places() -> None:
    """An owner dies and its ingresses register their runs with the next.
    Unless they count, the next owner fills engines that are full.
    """
    desk = cell(engine('e1', slots=1))
    desk.register(_granted_elsewhere(), 'other')
    offer(desk, ask('r1'))
    assert not granted(desk)
    desk.release(_release('old', RunEnd.ANSWERED), 10)
    assert granted(desk, 10) == [('r1', 'e1')]


def test_runs_of_another_owner_do_not_have_all_refused() -> None:
    """An owner dies, and the next is told which runs there are, not since when.
    All places are taken by them; places will come free as they always do.
    """
    desk = cell(engine('e1', slots=1))
    desk.register(_granted_elsewhere(), 'other')
    assert offer(desk, ask('r1'), now=1e9) is None


def test_second_tries_have_a_budget() -> None:
    """Engines fail many requests at once. Each second try loads those that
    still work, until these fail as well.
    """
    desk = cell(*(engine(f'e{number}', slots=99) for number in range(4)))
    refusals = 0
    for number in range(60):
        request = ask(f'r{number}', excluded=['e0'], dispatches=1)
        refusals += offer(desk, request) is not None
    assert refusals == 50


def test_a_request_that_crashes_engines_is_stopped() -> None:
    """One request crashes each engine that begins it, and its caller sends it
    again. After the third engine it is refused; those that ran beside it and
    are answered since are not.
    """
    engines = [engine(f'e{number}') for number in range(5)]
    desk = cell(*engines)
    for number in range(3):
        name = f'e{number}'
        others = [each.name for each in engines if each.name != name]
        for request_id in (f'bad-{number}', f'good-{number}'):
            print_of = request_id.partition('-')[0]
            request = ask(request_id, fingerprint=print_of, excluded=others)
            assert offer(desk, request, now=number) is None
        assert len(granted(desk, number)) == 2
        for request_id in (f'bad-{number}', f'good-{number}'):
            desk.release(_release(request_id, RunEnd.FAILED), number)
        again = ask(f'again-{number}', excluded=others)
        offer(desk, again, now=number)
        granted(desk, number)
        desk.release(
            _release(f'again-{number}', RunEnd.NOT_DISPATCHED),
            number,
        )
    desk.suspicions.record_answer('good')
    refused = offer(desk, ask('bad-9', fingerprint='bad'), now=9)
    assert _reason(refused) == RefusalReason.CULPRIT
    assert offer(desk, ask('good-9', fingerprint='good'), now=9) is None


def test_a_broken_connection_alone_blames_nobody() -> None:
    """Links reset and answers get lost. Were each a crash, one unlucky lookup
    that all callers send alike would be refused to all of them.
    """
    desk = cell(engine('e1', slots=99))
    for number in range(20):
        offer(desk, ask(f'r{number}', fingerprint='same'))
        granted(desk)
        desk.release(_release(f'r{number}', RunEnd.FAILED), 10)
    assert offer(desk, ask('next', fingerprint='same'), now=20) is None


def _limited_desk() -> EngineCell:
    """Make a cell whose owner knows nothing of what was spent before."""
    limits = quotas(is_remembered=False, is_first_start=False)
    made = EngineCell(
        Shared(
            quotas=limits, teams={'guides': team(rate=60_000, burst=60_000)}
        ),
        RetryBudget(ratio=0.2, slack=20, window_ms=10_000),
    )
    made.adopt([engine('e1', slots=99)], MODEL, {})
    return made


def test_after_a_restart_of_all_work_waits_for_its_limit() -> None:
    """Every process is killed, and the next owner starts with empty buckets.
    They fill within a fraction of a second; refused meanwhile, callers would
    find the engines idle and their answers late when they return.
    """
    desk = _limited_desk()
    starts = {}
    for now in range(0, 1000, 10):
        if now % 100 == 0:
            request_id = f'r{now}'
            request = ask(request_id, quota_tokens=5000, prompt_tokens=100)
            assert offer(desk, request, now=now) is None
        for request_id, _ in granted(desk, now):
            starts[request_id] = now
    assert len(starts) == 10
    assert 80 <= starts['r0'] <= 100


def test_what_waits_for_its_limit_lets_others_pass() -> None:
    desk = _limited_desk()
    offer(desk, ask('limited', quota_tokens=5000))
    offer(desk, ask('free', team='unlimited'))
    assert [request for request, _ in granted(desk)] == ['free']
    grants = list(desk.grants(100))
    assert [each.held_for for each in grants] == ["the team's limit"]


def test_beyond_the_limit_a_request_is_refused_at_once() -> None:
    desk = _limited_desk()
    refused = [
        offer(desk, ask(f'r{number}', quota_tokens=5000))
        for number in range(20)
    ]
    assert refused[0] is None
    assert _reason(refused[-1]) == RefusalReason.TEAM_LIMIT


def test_small_requests_do_not_take_what_a_large_one_waits_for() -> None:
    """Chat of a few hundred tokens takes each token as it comes, and the long
    prompt of the first priority never sees enough of them.
    """
    desk = _limited_desk()
    offer(desk, ask('urgent', quota_tokens=9000, route_rank=0))
    started = []
    for now in range(0, 300, 10):
        chat = ask(f'chat{now}', quota_tokens=1000, route_rank=2)
        offer(desk, chat, now=now)
        started += [request for request, _ in granted(desk, now)]
    assert started[0] == 'urgent'


def test_a_booking_passes_what_waits_for_tokens() -> None:
    desk = _limited_desk()
    offer(desk, ask('large', quota_tokens=9000, route_rank=0), now=0)
    assert not granted(desk, 0)
    offer(desk, ask('booking', quota_tokens=200, route_rank=2), now=20)
    assert granted(desk, 20) == [('booking', 'e1')]


def test_what_waits_is_not_looked_over_with_each_message(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Dozens of engines, all places taken, hundreds of messages a second. Did
    the owner look over all runs with each, it would fall behind just then.
    """
    desk = cell(engine('e1', slots=2))
    for number in range(6):
        offer(desk, ask(f'r{number}', output_tokens=20, objective_ms=9000))
    granted(desk)
    looks = []
    look = WaitQueue.expired

    def _counted(*asked: Any) -> Any:
        looks.append(asked)
        return look(*asked)

    monkeypatch.setattr(WaitQueue, 'expired', _counted)
    for tenth_ms in range(200):
        list(desk.expire(tenth_ms / 10))
    assert len(looks) == 1


def test_what_waited_for_a_team_that_went_leaves_nothing_behind() -> None:
    """A team is taken out of the configuration while its prompts wait for
    tokens, and comes back later. Were these still counted as waiting, its new
    requests would be refused behind them for ever.
    """
    desk = _limited_desk()
    teams = desk._admission._shared.teams
    offer(desk, ask('gone', quota_tokens=15_000))
    guides = teams.pop('guides')
    desk.withdraw('gone')
    teams['guides'] = guides
    assert offer(desk, ask('next', quota_tokens=15_000)) is None
