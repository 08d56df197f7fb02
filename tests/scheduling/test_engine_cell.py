"""Queueing, refusal and placement of requests in an engine cell."""

from typing import Any

import pytest

from hornbeamdeck.scheduling.admission_control import SharedState
from hornbeamdeck.scheduling.cell import Refused
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.engine_crash_tracker import TrackedRun
from hornbeamdeck.scheduling.retry_budget import RetryBudget, RetryRules
from hornbeamdeck.scheduling.wait_queue import WaitQueue
from hornbeamdeck.wire import Progress, RefusalReason, Register, Release, RunEnd
from tests.scheduling.engine_cell_factories import (
    MODEL,
    PLAIN,
    always_certain,
    engine,
    enqueue,
    granted,
    make_cell,
    make_quotas,
    make_request,
    make_team,
)

HOUR_MS = 3_600_000.0


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


def test_no_engine_gets_more_requests_than_slots() -> None:
    """Engines have no priorities. A request in an engine's own queue would be
    served before every urgent request that arrives later.
    """
    desk = make_cell(engine('e1'), engine('e2'))
    for number in range(10):
        enqueue(desk, make_request(f'r{number}'))
    assert len(granted(desk)) == 4
    assert max(len(load.runs) for load in desk.loads.values()) == 2


def test_a_retry_is_refused_if_no_engine_is_left_for_it() -> None:
    """Guards against holding a request until its deadline for nothing."""
    desk = make_cell(engine('e1'), engine('e2'), engine('e3', is_draining=True))
    tried = make_request('tried', excluded=['e1', 'e2'], dispatches=2)
    assert _reason(enqueue(desk, tried)) == RefusalReason.NO_UPSTREAM
    left = make_request('left', excluded=['e1'], dispatches=1)
    assert enqueue(desk, left) is None
    assert granted(desk) == [('left', 'e2')]


def test_a_free_slot_goes_to_the_most_urgent_request() -> None:
    desk = make_cell(engine('e1', slots=1))
    enqueue(desk, make_request('runs', output_tokens=20))
    assert granted(desk) == [('runs', 'e1')]
    enqueue(desk, make_request('relaxed', objective_ms=2000))
    enqueue(desk, make_request('urgent', objective_ms=500))
    desk.release(_release('runs', RunEnd.ANSWERED), 50)
    assert granted(desk, 50) == [('urgent', 'e1')]


def test_a_burst_is_refused_at_its_arrival() -> None:
    """A burst brings more requests than can start in time. Those that would
    wait past their objective are refused at arrival with a retry time, and do
    not make the first ones wait too long.
    """
    desk = make_cell(engine('e1'), engine('e2'))
    short = [
        make_request(f'r{number}', output_tokens=20) for number in range(200)
    ]
    refused = [enqueue(desk, request) for request in short]
    granted(desk)
    late = [
        enqueue(desk, make_request(f'late-{number}')) for number in range(200)
    ]
    admitted = sum(each is None for each in late)
    assert 0 < admitted < 60
    assert {_reason(each) for each in late if each} == {
        RefusalReason.OVERLOADED,
    }
    assert refused[0] is None


def test_a_request_that_can_not_start_is_refused_with_few_waiting() -> None:
    """All slots are taken by long responses. Slots became free often before,
    but none will in time now. If requests were admitted by the mean time
    between grants, the next ones would wait to no purpose.
    """
    desk = make_cell(engine('e1'))
    for number in range(2):
        enqueue(desk, make_request(f'long-{number}', output_tokens=2000))
    assert len(granted(desk)) == 2
    assert (
        _reason(enqueue(desk, make_request('next'))) == RefusalReason.OVERLOADED
    )
    short = make_cell(engine('e1'))
    for number in range(2):
        enqueue(short, make_request(f'short-{number}', output_tokens=20))
    assert len(granted(short)) == 2
    assert enqueue(short, make_request('next')) is None


def test_refused_callers_get_different_retry_times() -> None:
    """All refused callers honour the retry time that they receive. If it were
    the same for all, they would come back as the same burst.
    """
    desk = make_cell(engine('e1', slots=1))
    enqueue(desk, make_request('runs'))
    granted(desk)
    retry_times = []
    for number in range(300):
        refused = enqueue(desk, make_request(f'r{number}'))
        if isinstance(refused, Refused):
            retry_times.append(refused.refusal.retry_after_ms)
    assert len(retry_times) > 100
    assert len(set(retry_times)) > 50
    assert max(retry_times) <= 5000


def test_a_retry_goes_behind_requests_that_can_be_on_time() -> None:
    """A refused caller comes back when its response is late in any case. If it
    were placed first, it would make a new request late as well.
    """
    desk = make_cell(engine('e1', slots=1))
    enqueue(desk, make_request('runs'))
    granted(desk)
    for number in range(200):
        if (
            enqueue(desk, make_request(f'r{number}', fingerprint='same'))
            is not None
        ):
            break
    for number in range(200):
        desk.withdraw(f'r{number}')
    enqueue(desk, make_request('again', fingerprint='same'), now=1500)
    enqueue(desk, make_request('fresh'), now=1510)
    desk.release(_release('runs', RunEnd.ANSWERED), 1520)
    assert granted(desk, 1520) == [('fresh', 'e1')]
    desk.release(_release('fresh', RunEnd.ANSWERED), 1600)
    assert granted(desk, 1600) == [('again', 'e1')]


def test_a_request_past_its_deadline_gets_a_final_response() -> None:
    desk = make_cell(engine('e1', slots=1))
    enqueue(desk, make_request('runs', output_tokens=170))
    granted(desk)
    enqueue(desk, make_request('waits', objective_ms=2000, patience_ms=900))
    assert not list(desk.refuse_expired(800))
    expired = list(desk.refuse_expired(1000))
    assert [_reason(each) for each in expired] == [RefusalReason.DEADLINE]
    assert not len(desk)


def test_a_long_prompt_avoids_streams_that_it_would_interrupt() -> None:
    """A slow engine prefills a long prompt in chunks between the tokens of its
    streams. The gap would exceed what their routes allow, although every slot
    was free.
    """
    desk = make_cell(engine('slow'), engine('fast'))
    desk.loads['slow'].slowness = 5.0
    enqueue(desk, make_request('stream', excluded=['fast']))
    assert granted(desk) == [('stream', 'slow')]
    desk.progress(
        Progress(request_id='stream', cell='desk', first_token_ms=60),
        60,
    )
    long = make_request(
        'long', prompt_tokens=9000, excluded=['fast'], objective_ms=9000
    )
    enqueue(desk, long, now=70)
    assert not granted(desk, 70)
    enqueue(
        desk,
        make_request('other', prompt_tokens=9000, objective_ms=1000),
        now=80,
    )
    assert granted(desk, 80) == [('other', 'fast')]


def _start_stream(desk: EngineCell, name: str, **changes: object) -> None:
    others = [other for other in desk.loads if other != name]
    enqueue(desk, make_request(f'stream-{name}', excluded=others, **changes))
    assert granted(desk) == [(f'stream-{name}', name)]
    message = Progress(
        request_id=f'stream-{name}', cell='desk', first_token_ms=60
    )
    desk.progress(message, 60)


def _desk_with_streams(**changes: object) -> EngineCell:
    """Create two engines with streams in which a long prompt causes gaps."""
    desk = make_cell(engine('e1'), engine('e2'))
    for name in ('e1', 'e2'):
        desk.loads[name].slowness = 3.0
        _start_stream(desk, name, **changes)
    return desk


def test_a_long_prompt_starts_while_it_can_still_be_on_time() -> None:
    """Every engine has a stream that a long prompt would interrupt for a
    moment. If it were held back until it is late, its caller would wait for a
    slot that was free all the time. The streams are chat of a lower priority.
    """
    desk = _desk_with_streams(gap_ms=300, route_rank=2)
    long = make_request(
        'long', prompt_tokens=9000, objective_ms=1200, route_rank=0
    )
    enqueue(desk, long, now=100)
    assert not granted(desk, 100)
    assert [request for request, _ in granted(desk, 750)] == ['long']


def test_a_long_chat_prompt_does_not_interrupt_urgent_streams() -> None:
    desk = _desk_with_streams(gap_ms=300, route_rank=0, output_tokens=900)
    long = make_request(
        'long', prompt_tokens=9000, objective_ms=1200, route_rank=2
    )
    enqueue(desk, long, now=700)
    assert not granted(desk, 700)
    assert not granted(desk, 1500)


def test_a_prompt_too_long_for_a_slow_engine_waits_for_a_fast_one() -> None:
    """One engine is idle, but five times slower than another one that is full
    for a moment. If a long prompt were sent to the slow engine at once, its
    first token would come after its objective.
    """
    desk = make_cell(engine('fast', slots=1), engine('slow', slots=1))
    desk.loads['slow'].slowness = 5.0
    enqueue(desk, make_request('runs', excluded=['slow']))
    assert granted(desk) == [('runs', 'fast')]
    enqueue(
        desk, make_request('long', prompt_tokens=9000, objective_ms=600), now=10
    )
    assert not granted(desk, 10)
    desk.release(_release('runs', RunEnd.ANSWERED), 100)
    grants = list(desk.place_waiting(100))
    assert [grant.upstream for grant in grants] == ['fast']
    assert grants[0].hold_reason == 'it would be late there'


def test_gaps_are_learned_relative_to_the_speed_of_an_engine() -> None:
    """Gaps are learned relative to an engine's speed, so that an observation of
    one engine is valid for the faster engines of the service.
    """
    desk = make_cell(engine('e1', slots=8))
    load = desk.loads['e1']
    load.slowness = 4.0
    before_ms = load.gap_ms(40_000, 0)
    now = 0.0
    for number in range(12):
        stream, long = f'stream-{number}', f'long-{number}'
        enqueue(
            desk, make_request(stream, gap_ms=9000, objective_ms=9000), now=now
        )
        granted(desk, now)
        _first_token(desk, stream, now + 60)
        request = make_request(long, prompt_tokens=40_000, objective_ms=9000)
        enqueue(desk, request, now=now + 100)
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
    """Engines differ several times in speed and do not report it. If all were
    treated alike, the slow ones would make every third response late.
    """
    desk = make_cell(engine('e1', slots=8), engine('e2', slots=8))
    now = 0.0
    for number in range(12):
        for name, factor in (('e1', 1), ('e2', 4)):
            other = 'e2' if name == 'e1' else 'e1'
            request_id = f'{name}-{number}'
            request = make_request(
                request_id, prompt_tokens=6000, excluded=[other]
            )
            enqueue(desk, request, now=now)
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
    enqueue(desk, make_request('next', prompt_tokens=6000), now=now)
    assert granted(desk, now) == [('next', 'e1')]


# A sound engine may be silent for this time.
SILENCE_MS = 1000.0
SHORT_RUN_MS = 100


def _run_short_streams(
    desk: EngineCell, name: str, now: float, first_token_ms: float
) -> None:
    """Fill the slots of an engine once with short streams."""
    request_ids = [f'{name}-{number}' for number in range(4)]
    for request_id in request_ids:
        request = make_request(request_id, prompt_tokens=100, output_tokens=20)
        assert enqueue(desk, request, now=now) is None
    assert len(granted(desk, now)) == len(request_ids)
    begun_ms = now + first_token_ms
    for begun in request_ids:
        _first_token(desk, begun, begun_ms)
    for ended in request_ids:
        desk.release(_release(ended, RunEnd.ANSWERED), begun_ms + SHORT_RUN_MS)


def test_a_silence_of_an_engine_is_not_taken_for_its_speed() -> None:
    """Guards against refusing what an engine can serve after it was silent."""
    desk = make_cell(engine('e1', slots=4))
    now = 0.0
    for number in range(12):
        _run_short_streams(desk, f'usual-{number}', now, first_token_ms=13)
        now += 1000
    _run_short_streams(desk, 'silent', now, first_token_ms=SILENCE_MS)
    now += 2 * SILENCE_MS
    for number in range(8):
        request = make_request(
            f'next-{number}', prompt_tokens=100, output_tokens=20
        )
        assert enqueue(desk, request, now=now) is None
        granted(desk, now)


def test_a_failing_engine_is_avoided_and_tried_again() -> None:
    """An engine fails part of its requests while its health check passes.
    Judged by its outcomes, it is avoided for a while, but not for ever.
    """
    desk = make_cell(
        engine('good', slots=9), engine('grey', slots=9), properties=PLAIN
    )
    for number in range(10):
        enqueue(desk, make_request(f'r{number}', excluded=['good']))
        granted(desk)
        desk.release(_release(f'r{number}', RunEnd.FAILED), 10)
    enqueue(desk, make_request('next'), now=20)
    assert granted(desk, 20) == [('next', 'good')]
    assert desk.loads['grey'].health.failure_rate('z1', 30_000) < 0.01


def test_a_fault_seen_from_one_zone_counts_for_that_zone() -> None:
    desk = make_cell(engine('e1'))
    enqueue(desk, make_request('r1', zone='z2'))
    granted(desk)
    desk.release(_release('r1', RunEnd.NOT_DISPATCHED), 10)
    assert desk.loads['e1'].health.is_in_backoff('z2', 20)
    assert not desk.loads['e1'].health.is_in_backoff('z1', 20)


def test_a_new_incarnation_inherits_nothing() -> None:
    """An engine restarts under its name. Its old runs would hold its slots for
    ever, since their end is never reported.
    """
    desk = make_cell(engine('e1'))
    enqueue(desk, make_request('r1'))
    granted(desk)
    desk.update_engines(
        [engine('e1', born_ms=2)], desk.loads['e1'].properties, {}
    )
    assert not desk.loads['e1'].runs


def test_a_draining_engine_gets_no_requests() -> None:
    desk = make_cell(engine('e1'), engine('e2'))
    draining = engine('e1', is_draining=True)
    desk.update_engines(
        [draining, engine('e2')], desk.loads['e1'].properties, {}
    )
    for number in range(4):
        enqueue(desk, make_request(f'r{number}'))
    assert {name for _, name in granted(desk)} == {'e2'}


def test_runs_of_a_lost_ingress_are_removed() -> None:
    desk = make_cell(engine('e1', slots=1))
    enqueue(desk, make_request('r1'))
    granted(desk)
    desk.remove_sender('s')
    enqueue(desk, make_request('r2'))
    assert granted(desk) == [('r2', 'e1')]


def _granted_elsewhere() -> Register:
    """Return a run that another owner granted."""
    return Register(
        request_id='old',
        cell='desk',
        upstream='e1',
        prompt_tokens=10,
        output_tokens=10,
        is_prefilling=False,
        fingerprint='f',
    )


def test_runs_registered_with_a_new_owner_hold_their_slots() -> None:
    """An owner dies and the ingresses register their runs with the next one.
    Unless these count, the next owner overfills engines.
    """
    desk = make_cell(engine('e1', slots=1))
    desk.register(_granted_elsewhere(), 'other')
    enqueue(desk, make_request('r1'))
    assert not granted(desk)
    desk.release(_release('old', RunEnd.ANSWERED), 10)
    assert granted(desk, 10) == [('r1', 'e1')]


def test_runs_of_another_owner_do_not_cause_refusals() -> None:
    """An owner dies. The next one receives the current runs without their start
    times. They hold all slots, but slots will become free as usual, so new
    requests must not be refused.
    """
    desk = make_cell(engine('e1', slots=1))
    desk.register(_granted_elsewhere(), 'other')
    assert enqueue(desk, make_request('r1'), now=1e9) is None


def test_retries_have_a_budget() -> None:
    """Engines fail many requests at once. Each retry adds load to the engines
    that still work, until these fail as well.
    """
    desk = make_cell(*(engine(f'e{number}', slots=99) for number in range(4)))
    refusals = 0
    for number in range(60):
        request = make_request(f'r{number}', excluded=['e0'], dispatches=1)
        refusals += enqueue(desk, request) is not None
    assert refusals == 42


def test_retry_counts_when_it_starts() -> None:
    """Guards against retries that were allowed long ago and start together."""
    desk = make_cell(engine('e1', slots=40), engine('e2', slots=40))
    for number in range(80):
        run = _granted_elsewhere()
        run.request_id = f'run-{number}'
        run.upstream = f'e{number % 2 + 1}'
        desk.register(run, 'other')
    for number in range(60):
        _enqueue_retry(desk, f'early-{number}', 0)
    for number in range(60):
        _enqueue_retry(desk, f'late-{number}', 10_001)
    for number in range(80):
        desk.release(_release(f'run-{number}', RunEnd.ANSWERED), 10_001)
    assert len(granted(desk, 10_001)) <= 20


def _enqueue_retry(desk: EngineCell, request_id: str, now: float) -> None:
    request = make_request(
        request_id,
        excluded=['e0'],
        dispatches=1,
        deadline_ms=60_000,
        patience_ms=60_000,
    )
    enqueue(desk, request, now)


def test_retry_that_does_not_wait_any_more_reserves_nothing() -> None:
    """Guards against a budget that shrinks with each caller that leaves."""
    desk = make_cell(engine('e1', slots=40))
    for number in range(60):
        _enqueue_retry(desk, f'left-{number}', 0)
        desk.withdraw(f'left-{number}')
    for number in range(60):
        _enqueue_retry(desk, f'r{number}', 0)
    assert len(granted(desk)) == 18


def test_a_request_that_crashes_engines_is_stopped() -> None:
    """One request crashes each engine that starts it, and its caller retries
    it. After the third engine it is refused. Requests that ran on the same
    engines and were answered since are not refused.
    """
    engines = [engine(f'e{number}') for number in range(5)]
    desk = make_cell(*engines)
    for number in range(3):
        name = f'e{number}'
        others = [each.name for each in engines if each.name != name]
        for request_id in (f'bad-{number}', f'good-{number}'):
            fingerprint = request_id.partition('-')[0]
            request = make_request(
                request_id, fingerprint=fingerprint, excluded=others
            )
            assert enqueue(desk, request, now=number) is None
        assert len(granted(desk, number)) == 2
        for request_id in (f'bad-{number}', f'good-{number}'):
            desk.release(_release(request_id, RunEnd.FAILED), number)
        again = make_request(f'again-{number}', excluded=others)
        enqueue(desk, again, now=number)
        granted(desk, number)
        desk.release(
            _release(f'again-{number}', RunEnd.NOT_DISPATCHED),
            number,
        )
    desk.crash_tracker.record_answer(TrackedRun('good'), 3)
    refused = enqueue(desk, make_request('bad-9', fingerprint='bad'), now=9)
    assert _reason(refused) == RefusalReason.CULPRIT
    assert (
        enqueue(desk, make_request('good-9', fingerprint='good'), now=9) is None
    )


def test_a_broken_connection_alone_counts_as_no_crash() -> None:
    """Links reset and responses get lost. If each counted as a crash, a
    harmless lookup that all callers send alike would be refused to all of them.
    """
    desk = make_cell(engine('e1', slots=99))
    for number in range(20):
        enqueue(desk, make_request(f'r{number}', fingerprint='same'))
        granted(desk)
        desk.release(_release(f'r{number}', RunEnd.FAILED), 10)
    assert (
        enqueue(desk, make_request('next', fingerprint='same'), now=20) is None
    )


def _limited_desk() -> EngineCell:
    """Create a cell whose owner has no record of earlier spending."""
    limits = make_quotas(covers_window=False, is_first_start=False)
    made = EngineCell(
        SharedState(
            quotas=limits,
            teams={'guides': make_team(rate=60_000, burst=60_000)},
            is_certain=always_certain,
        ),
        RetryBudget(RetryRules(0.2, 20, 10_000), lambda _now: 1.0),
    )
    made.update_engines([engine('e1', slots=99)], MODEL, {})
    return made


def test_after_a_fleet_restart_requests_wait_for_tokens() -> None:
    """Every process is killed, and the next owner starts with empty buckets,
    which fill within a fraction of a second. If requests were refused
    meanwhile, engines would be idle and the responses late when the callers
    retry.
    """
    desk = _limited_desk()
    starts = {}
    for now in range(0, 1000, 10):
        if now % 100 == 0:
            request_id = f'r{now}'
            request = make_request(
                request_id, quota_tokens=5000, prompt_tokens=100
            )
            assert enqueue(desk, request, now=now) is None
        for request_id, _ in granted(desk, now):
            starts[request_id] = now
    assert len(starts) == 10
    assert 80 <= starts['r0'] <= 100


def test_a_request_that_waits_for_tokens_lets_others_pass() -> None:
    desk = _limited_desk()
    enqueue(desk, make_request('limited', quota_tokens=5000))
    enqueue(desk, make_request('free', team='unlimited'))
    assert [request for request, _ in granted(desk)] == ['free']
    grants = list(desk.place_waiting(100))
    assert [each.hold_reason for each in grants] == ["the team's limit"]


def test_beyond_the_limit_a_request_is_refused_at_once() -> None:
    desk = _limited_desk()
    refused = [
        enqueue(desk, make_request(f'r{number}', quota_tokens=5000))
        for number in range(20)
    ]
    assert refused[0] is None
    assert _reason(refused[-1]) == RefusalReason.TEAM_LIMIT


def test_small_requests_do_not_take_the_tokens_of_a_large_one() -> None:
    """Guards against small chat requests that use up each token as it is added,
    so that a long prompt of the first priority never gets enough tokens.
    """
    desk = _limited_desk()
    enqueue(desk, make_request('urgent', quota_tokens=9000, route_rank=0))
    started = []
    for now in range(0, 300, 10):
        chat = make_request(f'chat{now}', quota_tokens=1000, route_rank=2)
        enqueue(desk, chat, now=now)
        started += [request for request, _ in granted(desk, now)]
    assert started[0] == 'urgent'


def test_a_booking_passes_requests_that_wait_for_tokens() -> None:
    desk = _limited_desk()
    enqueue(desk, make_request('large', quota_tokens=9000, route_rank=0), now=0)
    assert not granted(desk, 0)
    enqueue(
        desk, make_request('booking', quota_tokens=200, route_rank=2), now=20
    )
    assert granted(desk, 20) == [('booking', 'e1')]


def test_expiry_is_not_checked_with_each_message(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Dozens of engines have no free slot, and hundreds of messages arrive each
    second. If the owner checked all runs with each message, it would be
    overloaded just then.
    """
    desk = make_cell(engine('e1', slots=2))
    for number in range(6):
        enqueue(
            desk,
            make_request(f'r{number}', output_tokens=20, objective_ms=9000),
        )
    granted(desk)
    checks = []
    check = WaitQueue.expired

    def _counted(*arguments: Any) -> Any:
        checks.append(arguments)
        return check(*arguments)

    monkeypatch.setattr(WaitQueue, 'expired', _counted)
    for tenth_ms in range(200):
        list(desk.refuse_expired(tenth_ms / 10))
    assert len(checks) == 1


def test_requests_of_a_removed_team_stop_counting() -> None:
    """A team is removed from the configuration while its prompts wait for
    tokens, and is added again later. If these still counted as waiting, its new
    requests would be refused for ever.
    """
    desk = _limited_desk()
    teams = desk._admission._shared.teams
    enqueue(desk, make_request('withdrawn', quota_tokens=15_000))
    guides = teams.pop('guides')
    desk.withdraw('withdrawn')
    teams['guides'] = guides
    assert enqueue(desk, make_request('next', quota_tokens=15_000)) is None


def test_calls_that_another_owner_granted_teach_no_duration() -> None:
    """Guards against refusing bookings for seconds after a takeover.

    The new owner does not know when the calls that it takes over began. If it
    took their start for the start of its clock, a call would seem to last for
    hours, and no slot would be expected to become free in time.
    """
    desk = make_cell(engine('e1', slots=1), properties=PLAIN)
    for number in range(5):
        request_id = f'r{number}'
        run = _granted_elsewhere()
        run.request_id = request_id
        desk.register(run, 'old ingress')
        desk.release(_release(request_id, RunEnd.ANSWERED), HOUR_MS)
    for number in range(4):
        request = make_request(f'new-{number}', prompt_tokens=0)
        assert enqueue(desk, request, HOUR_MS) is None
        granted(desk, HOUR_MS)


def test_short_calls_are_granted_beyond_the_slots() -> None:
    """Guards against booking engines that idle while calls are in transit.

    One of three booking engines is left. Its calls take as long as it takes to
    open a connection and to hear of their end. With one call for each slot,
    half of its slots would be empty and a tenth of the bookings refused.
    """
    desk = make_cell(engine('a', slots=4), properties=PLAIN)
    now = 0.0
    for number in range(200):
        request_id = f'r{number}'
        enqueue(desk, make_request(request_id, prompt_tokens=0), now)
        assert granted(desk, now)
        now += 60
        desk.release(
            Release(
                request_id=request_id,
                cell='desk',
                end=RunEnd.ANSWERED,
                total_ms=40,
                first_byte_ms=30,
            ),
            now,
        )
    for number in range(8):
        enqueue(desk, make_request(f'burst-{number}', prompt_tokens=0), now)
    assert len(granted(desk, now)) > 6


def test_one_request_at_a_time_probes_an_engine_that_was_out_of_reach() -> None:
    """Guards against a dead engine that costs many requests an attempt."""
    desk = make_cell(engine('dead', slots=8))
    enqueue(desk, make_request('first'))
    assert len(granted(desk)) == 1
    desk.release(_release('first', RunEnd.NOT_DISPATCHED), 0)
    for number in range(4):
        enqueue(desk, make_request(f'r{number}'), now=1)
    assert len(granted(desk, 350)) == 1
    assert not granted(desk, 400)
    desk.progress(
        Progress(request_id='r0', cell='desk', first_token_ms=50), 450
    )
    assert len(granted(desk, 450)) == 3
