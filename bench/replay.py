"""Replays a load pattern against the decisions of a cell, in simulated time.

python -m bench.replay --load bursts_and_losses --seeds 5 --json

The cell is the product's own code. Engines and callers are simulated, so that
a change to one scheduling decision can be tried in seconds.
"""

import heapq
import json as json_codec
import math
import statistics
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from typing import Any, Final, NamedTuple, TypeAlias

import fire

from bench.replay_crashes import EngineEnds
from bench.replay_engine import EngineModel, RunPlan, Token
from bench.replay_limits import StatedLimits
from bench.replay_load import (
    Arrival,
    InstanceLoss,
    LoadPlan,
    Loss,
    TeamLoad,
    draw_arrivals,
)
from bench.replay_statements import (
    MS_PER_S,
    Partitions,
    StatedBrittleness,
    StatedDepartures,
    StatedRests,
)
from bench.replay_teams import summarize_teams
from bench.replay_versions import ResumedStreams, StreamPart
from hornbeamdeck.scheduling.admission_control import SharedState
from hornbeamdeck.scheduling.cell import Refused
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.engine_cell import (
    EngineCell,
    record_engine_end,
)
from hornbeamdeck.scheduling.retry_budget import RetryBudget, RetryRules
from hornbeamdeck.scheduling.token_quota import (
    QuotaRules,
    QuotaView,
    TokenQuotas,
)
from hornbeamdeck.version.gateway import EngineProperties, GatewayTeam
from hornbeamdeck.wire import (
    EngineObservation,
    Enqueue,
    Message,
    Progress,
    Release,
    RunEnd,
    UpstreamEnd,
)

# Delay from a grant until the request reaches the engine, and from an event at
# the engine until its message reaches the owner.
GRANT_TO_ENGINE_MS: Final = 6.0
ENGINE_TO_OWNER_MS: Final = 3.0
# Delay from an event at the engine until the caller receives it.
ENGINE_TO_CALLER_MS: Final = 4.0
SCAN_INTERVAL_MS: Final = 25.0
# How long an engine that has fallen over or crashed is down.
FALL_S: Final = 3.0
TOKENS_PER_EVENT: Final = 5
# A caller disconnects when its stream has not begun after this time. The owner
# is sent a shorter timeout, to allow for the delay of the response.
CLIENT_TIMEOUT_MS: Final = 4000
RESPONSE_DELAY_MS: Final = 150
# All teams have one priority, as in the users' deployments.
TEAM_PRIORITY: Final = 1
# A refused caller retries after the delay that the refusal asks for, but at
# most after its remaining time divided by this number.
RETRY_WAIT_DIVISOR: Final = 3
# Cost of refusing a request again after its retry, as a share of its value.
REPEATED_REFUSAL_COST: Final = 0.3
# A refusal costs nothing while the request has waited no longer than
# FREE_REFUSAL_SHARE of its objective. From there the cost rises linearly. It
# reaches its maximum, half the request's value, when the request has waited
# FULL_COST_SHARE of the time that it had when the attempt began.
FREE_REFUSAL_SHARE: Final = 0.125
FULL_COST_SHARE: Final = 0.75
MAX_LATE_REFUSAL_COST: Final = 0.5
# Weights of the parts of `score`, as the users weigh them.
MEAN_WEIGHT: Final = 0.6
WORST_WINDOWS_WEIGHT: Final = 0.25
WORST_KIND_WEIGHT: Final = 0.15
# `score` contains the mean of the two windows of this length that earned the
# smallest shares of their value.
SCORE_WINDOW_MS: Final = 2000


_Callback: TypeAlias = Callable[[], object]
_ScheduledEvent: TypeAlias = tuple[float, int, _Callback]


class Outcome(NamedTuple):
    """The result of a request, or the cost of refusing its first attempt late.

    :param earned_value: the part of the request's value that was earned.
    :param cost: what refusing the request cost, in the same unit.
    """

    arrival: Arrival
    result: str
    earned_value: float
    cost: float


class _Attempt:
    """One attempt of a caller to have a request answered."""

    def __init__(
        self, arrival: Arrival, number: int, instance: str, now: float
    ) -> None:
        self.arrival = arrival
        self.instance = instance
        self.number = number
        self.arrived_ms = now
        self.engine = ''
        self.granted_ms = 0.0
        self.granted_limit_per_s: float | None = None
        self.granted_rejections_per_s: float | None = None
        self.relays: tuple[str, ...] = ()
        # The instance that it goes through; empty: none; `None`: no path.
        self.relay: str | None = ''
        self.first_token_ms = 0.0
        self.last_event_ms = 0.0
        self.longest_gap_ms = 0.0
        self.excluded: list[str] = []
        self.retries = 0
        # What its caller has received of its stream before.
        self.part: StreamPart | None = None
        self.tokens = 0

    @property
    def request_id(self) -> str:
        return f'{self.arrival.request_id}#{self.number}'


class Replay:
    """One replay: a simulated clock, a cell, engines and callers."""

    def __init__(
        self,
        plan: LoadPlan,
        seed: int,
        *,
        has_route_ranks: bool = True,
    ) -> None:
        """Set up the replay without running it.

        :param has_route_ranks: whether requests to the owner carry the route's
            priority, in addition to the priority that all teams share.
        """
        self.now = 0.0
        self.outcomes: list[Outcome] = []
        self._plan = plan
        self._seed = seed
        self._has_route_ranks = has_route_ranks
        self._events: list[_ScheduledEvent] = []
        self._event_count = 0
        self._attempts: dict[str, _Attempt] = {}
        self._engines = {
            f'e{number}': EngineModel(slowness, plan.slots, plan.chunk_tokens)
            for number, slowness in enumerate(plan.slowness)
        }
        self._stepping_engines: set[str] = set()
        self._down_engines: set[str] = set()
        self.stated_limits = StatedLimits(plan.limits)
        self.stated_rests = StatedRests(plan.sheds)
        self.stated_departures = StatedDepartures(plan.departures)
        self.stated_brittleness = StatedBrittleness(plan.brittle)
        self._instances = [f'front-{each}' for each in range(plan.instances)]
        self.partitions = Partitions(plan.partitions, self._instances)
        self.resumed_streams = ResumedStreams()
        self.engine_ends = EngineEnds(plan.crashing)
        self._versions = {
            f'e{number}': version
            for number, version in enumerate(plan.versions)
        }
        self._callers = 0
        self._cell = make_cell(plan, self._instances, {}, 0)

    def run(self) -> list[Outcome]:
        """Run the replay until no event is left.

        :returns: the outcomes of all requests.
        """
        for arrival in draw_arrivals(self._plan, self._seed):
            self._schedule(arrival.at_ms, partial(self._arrive, arrival, 1))
        for loss in self._plan.losses:
            self._schedule(loss.at_s * 1000, partial(self._crash, loss))
        for instance_loss in self._plan.instance_losses:
            self._schedule(
                instance_loss.at_s * MS_PER_S,
                partial(self._lose_instances, instance_loss),
            )
        for departure in self._plan.departures:
            gone_ms = (departure.at_s + departure.for_s) * 1000
            end = Loss(gone_ms, self._plan.duration_s, departure.engine)
            self._schedule(gone_ms, partial(self._crash, end))
        self._schedule(SCAN_INTERVAL_MS, self._scan)
        while self._events:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        return self.outcomes

    def _schedule(self, at_ms: float, callback: _Callback) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_ms, self._event_count, callback))

    def _scan(self) -> None:
        self._grant()
        if self._events:
            self._schedule(self.now + SCAN_INTERVAL_MS, self._scan)

    def _arrive(
        self, arrival: Arrival, number: int, part: StreamPart | None = None
    ) -> None:
        self._callers += 1
        instance = self._instances[self._callers % len(self._instances)]
        attempt = _Attempt(arrival, number, instance, self.now)
        attempt.part = part
        self.resumed_streams.record_attempt(part)
        self.engine_ends.record_attempt(arrival)
        self._attempts[attempt.request_id] = attempt
        self._enqueue(attempt)

    def _enqueue(self, attempt: _Attempt, *, is_moved: bool = False) -> None:
        refused = self._cell.enqueue(
            _to_enqueue(
                attempt,
                self.now,
                self.engine_ends.parts_of(attempt.arrival),
                has_route_ranks=self._has_route_ranks,
                is_moved=is_moved,
            ),
            sender=attempt.instance,
            deliver=_async_discard,
            now=self.now,
        )
        if refused is not None:
            self._refuse(refused)
        self._grant()

    def _grant(self) -> None:
        for refused in list(self._cell.refuse_expired(self.now)):
            self._refuse(refused)
        for granted in list(self._cell.place_waiting(self.now)):
            attempt = self._attempts[granted.queued.request.request_id]
            attempt.engine = granted.upstream
            attempt.granted_ms = self.now
            attempt.granted_limit_per_s = granted.limit_per_s
            attempt.granted_rejections_per_s = granted.rejection_limit_per_s
            attempt.relays = granted.relays
            self._schedule(
                self.now + GRANT_TO_ENGINE_MS,
                partial(self._reach_engine, attempt),
            )

    def _reach_engine(self, attempt: _Attempt) -> None:
        if attempt.request_id not in self._attempts:
            return
        if attempt.engine in self._down_engines:
            self._retry_on_another_engine(attempt)
            return
        attempt.relay = self.partitions.find_relay(
            attempt.instance, attempt.relays, self.now
        )
        if attempt.relay is None:
            self._retry_on_another_engine(attempt, RunEnd.UNREACHABLE)
            return
        running = self._engines[attempt.engine].running
        if self.stated_brittleness.rejects(attempt.engine, running, self.now):
            self._report_statements(attempt)
            self._retry_on_another_engine(attempt, RunEnd.REJECTED)
            return
        self.stated_limits.record_arrival(attempt.engine, self.now)
        addressed = (attempt.instance, attempt.engine, self.now)
        self.stated_departures.record_arrival(*addressed)
        rest_ms = self.stated_rests.record_arrival(*addressed)
        if rest_ms:
            self._observe(attempt, rest_ms=rest_ms, is_limit_unknown=True)
            self._retry_on_another_engine(attempt, RunEnd.REJECTED)
            return
        arrival = attempt.arrival
        self._engines[attempt.engine].accept(
            RunPlan(
                attempt.request_id,
                arrival.prompt_tokens,
                arrival.output_tokens - _received_tokens(attempt.part),
            ),
        )
        if attempt.engine not in self._stepping_engines:
            self._stepping_engines.add(attempt.engine)
            self._step(attempt.engine)

    def _retry_on_another_engine(
        self, attempt: _Attempt, end: RunEnd = RunEnd.NOT_DISPATCHED
    ) -> None:
        """Release a grant whose engine did not run it; enqueue again."""
        name = attempt.engine
        release = Release(
            request_id=attempt.request_id,
            cell='desk',
            end=end,
            total_ms=0,
        )
        attempt.retries += end == RunEnd.REJECTED
        attempt.excluded.append(attempt.engine)
        attempt.engine = ''
        self._schedule(
            self.now + ENGINE_TO_OWNER_MS, partial(self._release, release)
        )
        self._schedule(
            self.now + ENGINE_TO_OWNER_MS, partial(self._enqueue, attempt)
        )
        if end == RunEnd.REJECTED and self.stated_brittleness.falls_over(
            name, self.now
        ):
            self._crash(_make_fall(name, self.now))

    def _step(self, name: str) -> None:
        engine = self._engines[name]
        if engine.is_idle or name in self._down_engines:
            self._stepping_engines.discard(name)
            return
        end_ms, tokens = engine.step(self.now)
        for token in tokens:
            if (
                token.number == 1
                or token.is_last
                or not (token.number % TOKENS_PER_EVENT)
            ):
                self._schedule(token.at_ms, partial(self._handle_token, token))
        self._schedule(end_ms, partial(self._step, name))

    def _handle_token(self, token: Token) -> None:
        attempt = self._attempts.get(token.request_id)
        if attempt is None or not attempt.engine:
            return
        if attempt.first_token_ms:
            gap_ms = self.now - attempt.last_event_ms
            attempt.longest_gap_ms = max(attempt.longest_gap_ms, gap_ms)
        elif self.engine_ends.record_first_token(attempt.arrival, self.now):
            self._crash(_make_fall(attempt.engine, self.now))
            self._schedule(
                self.now + GRANT_TO_ENGINE_MS + ENGINE_TO_OWNER_MS,
                partial(
                    record_engine_end,
                    self._cell,
                    _make_end(attempt.engine),
                    self.now,
                ),
            )
            return
        else:
            attempt.first_token_ms = self.now
            self.resumed_streams.record_first_event(
                attempt.part, self._versions[attempt.engine]
            )
            self._report_statements(attempt)
            first_token = Progress(
                request_id=attempt.request_id,
                cell='desk',
                first_token_ms=int(self.now - attempt.granted_ms),
                relay=attempt.relay or None,
                is_certain=True,
            )
            self._schedule(
                self.now + ENGINE_TO_OWNER_MS,
                lambda: self._cell.progress(first_token, self.now),
            )
        attempt.last_event_ms = self.now
        attempt.tokens = token.number
        if token.is_last:
            self._finish(attempt, _judge(attempt), RunEnd.ANSWERED)

    def _report_statements(self, attempt: _Attempt) -> None:
        """Report what the head of a response states and the owner lacks."""
        if self.stated_departures.record_response(
            attempt.instance, attempt.engine, self.now
        ):
            self._observe(attempt, is_leaving=True, is_limit_unknown=True)
        per_s = self.stated_limits.stated_per_s(attempt.engine, self.now)
        brittle = self.stated_brittleness.find(attempt.engine, self.now)
        rejections = float(brittle.most_rejections) if brittle else None
        known = (attempt.granted_limit_per_s, attempt.granted_rejections_per_s)
        if (per_s, rejections) != known:
            self._observe(
                attempt, per_s=per_s, rejection_limit_per_s=rejections
            )

    def _observe(self, attempt: _Attempt, **stated: Any) -> None:
        """Report what a response to an attempt states about its engine."""
        observation = EngineObservation(
            cell='desk',
            upstream=attempt.engine,
            born_ms=1,
            age_ms=0,
            **stated,
        )
        self._schedule(
            self.now + ENGINE_TO_OWNER_MS,
            lambda: self._cell.apply_observation(
                observation, attempt.instance, self.now
            ),
        )

    def _finish(self, attempt: _Attempt, result: str, end: RunEnd) -> None:
        if self._attempts.pop(attempt.request_id, None) is None:
            return
        arrival = attempt.arrival
        earned_values = {
            'on_time': arrival.value,
            'late': arrival.value
            * arrival.kind.late_worth
            / arrival.kind.worth,
        }
        earned_value = earned_values.get(result, 0.0)
        self.outcomes.append(Outcome(arrival, result, earned_value, 0.0))
        release = Release(
            request_id=attempt.request_id,
            cell='desk',
            end=end,
            total_ms=0,
            longest_gap_ms=int(attempt.longest_gap_ms),
            relay=attempt.relay or None,
        )
        self._schedule(
            self.now + ENGINE_TO_OWNER_MS, partial(self._release, release)
        )

    def _release(self, release: Release) -> None:
        self._cell.release(release, self.now)
        self._grant()

    def _refuse(self, refused: Refused) -> None:
        attempt = self._attempts.pop(refused.queued.request.request_id)
        arrival = attempt.arrival
        kind = arrival.kind
        waited_ms = self.now - attempt.arrived_ms
        left_ms = arrival.at_ms + kind.deadline_ms - self.now
        available_ms = left_ms + waited_ms
        costly_ms = waited_ms - kind.objective_ms * FREE_REFUSAL_SHARE
        cost = 0.0
        if costly_ms > 0:
            span_ms = (
                available_ms * FULL_COST_SHARE
                - kind.objective_ms * FREE_REFUSAL_SHARE
            )
            cost = (
                MAX_LATE_REFUSAL_COST
                * min(costly_ms / span_ms, 1)
                * arrival.value
            )
        if attempt.number == 1:
            wait_ms = min(
                refused.refusal.retry_after_ms,
                left_ms / RETRY_WAIT_DIVISOR,
            )
            self._schedule(
                self.now + wait_ms,
                partial(self._arrive, arrival, 2, attempt.part),
            )
            if cost:
                self.outcomes.append(Outcome(arrival, 'held', 0.0, cost))
            return
        cost += REPEATED_REFUSAL_COST * arrival.value
        self.outcomes.append(Outcome(arrival, 'refused', 0.0, cost))

    def _lose_instances(self, loss: InstanceLoss) -> None:
        """Lose instances; their callers come back to others at once."""
        lost = set(self._instances[: loss.instances])
        interrupted = [
            attempt
            for attempt in self._attempts.values()
            if attempt.instance in lost
        ]
        for attempt in interrupted:
            self._attempts.pop(attempt.request_id)
            if attempt.engine:
                self._engines[attempt.engine].cancel(attempt.request_id)
        for instance in lost:
            self._cell.remove_sender(instance)
        for caller in interrupted:
            self._schedule(
                self.now + ENGINE_TO_CALLER_MS,
                partial(
                    self._arrive,
                    caller.arrival,
                    caller.number + 1,
                    _received_part(caller, self._versions),
                ),
            )

    def _crash(self, loss: Loss) -> None:
        name = f'e{loss.engine}'
        self._down_engines.add(name)
        self._engines[name].crash()
        interrupted = [
            attempt
            for attempt in self._attempts.values()
            if attempt.engine == name
        ]
        for attempt in interrupted:
            self._finish(attempt, 'broken', RunEnd.FAILED)
        self._schedule(
            self.now + loss.for_s * 1000,
            partial(self._down_engines.discard, name),
        )


def _make_fall(engine: str, now: float) -> Loss:
    """Make the loss of an engine that falls over or crashes now."""
    return Loss(now / MS_PER_S, FALL_S, int(engine.removeprefix('e')))


def _make_end(engine: str) -> UpstreamEnd:
    return UpstreamEnd(cell='desk', upstream=engine, born_ms=1)


def _to_enqueue(
    attempt: _Attempt,
    now: float,
    shared_parts: list[str],
    *,
    has_route_ranks: bool,
    is_moved: bool = False,
) -> Enqueue:
    arrival = attempt.arrival
    kind = arrival.kind
    left_ms = int(arrival.at_ms + kind.deadline_ms - now)
    return Enqueue(
        request_id=attempt.request_id,
        cell='desk',
        team=arrival.team,
        tier_rank=TEAM_PRIORITY,
        deadline_ms=left_ms,
        prompt_tokens=arrival.prompt_tokens,
        output_tokens=arrival.hint_tokens,
        excluded=list(attempt.excluded),
        fingerprint=arrival.request_id,
        objective_ms=kind.objective_ms,
        patience_ms=min(left_ms, CLIENT_TIMEOUT_MS) - RESPONSE_DELAY_MS,
        gap_ms=kind.gap_ms,
        quota_tokens=arrival.prompt_tokens + arrival.max_tokens,
        is_moved=is_moved or None,
        dispatches=attempt.retries,
        zone='z1',
        route_rank=kind.priority if has_route_ranks else None,
        route=kind.name,
        resumes=attempt.part.first_attempt if attempt.part else None,
        resumable_ms=left_ms,
        shared_parts=shared_parts,
    )


async def _async_discard(_message: Message) -> None:
    """Discard a message: the replay uses the cell's return values instead."""


def _received_part(
    attempt: _Attempt, versions: dict[str, str]
) -> StreamPart | None:
    """Return what a caller has received when its connection breaks.

    :param versions: by engine.
    """
    if not attempt.first_token_ms:
        return attempt.part
    first_attempt = attempt.request_id
    if attempt.part is not None:
        first_attempt = attempt.part.first_attempt
    return StreamPart(
        first_attempt,
        versions[attempt.engine],
        _received_tokens(attempt.part) + attempt.tokens,
    )


def _received_tokens(part: StreamPart | None) -> int:
    return part.tokens if part else 0


def _judge(attempt: _Attempt) -> str:
    kind = attempt.arrival.kind
    first_token_delay_ms = (
        attempt.first_token_ms + ENGINE_TO_CALLER_MS - attempt.arrival.at_ms
    )
    if attempt.first_token_ms - attempt.arrived_ms > CLIENT_TIMEOUT_MS:
        return 'left'
    if (
        first_token_delay_ms > kind.objective_ms
        or attempt.longest_gap_ms > kind.gap_ms
    ):
        return 'late'
    return 'on_time'


def make_cell(
    plan: LoadPlan,
    instances: list[str],
    slowness: dict[str, float],
    now: float,
) -> EngineCell:
    """Make the cell of an owner that begins now, with all engines.

    :param slowness: speed factors that it was told, by engine.
    """
    quotas = TokenQuotas(
        QuotaView(lambda _team, _now: (), lambda: True, lambda: 1.0),
        QuotaRules(window_ms=8000, slack=0),
        is_first_start=True,
    )
    cell = EngineCell(
        SharedState(
            quotas=quotas,
            teams={each.name: _to_gateway_team(each) for each in plan.teams},
            # Engines state their incarnations; the list shows none in time.
            is_certain=lambda *_asked: False,
            instances=lambda: instances,
        ),
        RetryBudget(RetryRules(0.2, 100, 10_000), lambda _now: 1.0),
    )
    engines = [
        Engine(
            f'e{each}',
            'desk',
            f'127.0.0.1:{each + 1}',
            'z1',
            plan.slots,
            is_draining=False,
            born_ms=1,
            version=plan.versions[each],
        )
        for each in range(len(plan.slowness))
    ]
    properties = EngineProperties(plan.slots, TOKENS_PER_EVENT, 660_000)
    cell.origins.history.add_earlier((), now)
    cell.origins.history.confirm_recorded(math.inf)
    cell.origins.update_engines(engines, now)
    cell.update_engines(engines, properties, slowness)
    return cell


def _to_gateway_team(team: TeamLoad) -> GatewayTeam:
    return GatewayTeam(
        name=team.name,
        priority=None,
        rate_per_s=team.rate_per_s,
        burst=team.rate_per_s,
        default_request_tokens=0,
    )


def summarize(outcomes: list[Outcome]) -> dict[str, Any]:
    """Compute the score, the shares of value earned and the result counts."""
    offered: dict[str, float] = defaultdict(float)
    earned: dict[str, float] = defaultdict(float)
    windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    results: dict[str, int] = defaultdict(int)
    cost = 0.0
    for outcome in outcomes:
        cost += outcome.cost
        if outcome.result == 'held':
            continue
        arrival = outcome.arrival
        offered[arrival.kind.name] += arrival.value
        earned[arrival.kind.name] += outcome.earned_value
        results[f'{arrival.kind.name} {outcome.result}'] += 1
        window = windows[int(arrival.at_ms) // SCORE_WINDOW_MS]
        window[0] += outcome.earned_value
        window[1] += arrival.value
    total = sum(offered.values())
    shares = {kind: earned[kind] / offered[kind] for kind in offered}
    shares |= _largest_shares(outcomes)
    worst_shares = sorted(gain / value for gain, value in windows.values())[:2]
    mean = sum(earned.values()) / total
    score = MEAN_WEIGHT * mean + WORST_WINDOWS_WEIGHT * statistics.mean(
        worst_shares
    )
    score += WORST_KIND_WEIGHT * min(shares.values()) - cost / total
    return {
        'score': round(score, 4),
        'mean': round(mean, 4),
        'worst': round(statistics.mean(worst_shares), 4),
        'cost': round(cost / total, 4),
        'shares': {kind: round(share, 3) for kind, share in shares.items()},
        'results': dict(sorted(results.items())),
        **summarize_teams(outcomes),
    }


def _largest_shares(outcomes: list[Outcome]) -> dict[str, float]:
    """Compute the shares earned by the largest tenth of each kind."""
    by_kind: dict[str, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.result != 'held':
            by_kind[outcome.arrival.kind.name].append(outcome)
    shares = {}
    for kind, all_of_kind in by_kind.items():
        all_of_kind.sort(key=lambda each: -each.arrival.prompt_tokens)
        largest = all_of_kind[: len(all_of_kind) // 10]
        value = sum(each.arrival.value for each in largest)
        earned = sum(each.earned_value for each in largest)
        shares[f'largest {kind}'] = earned / value
    return shares


def main(
    load: str = 'bursts_and_losses',
    seeds: int = 3,
    *,
    json: bool = False,
) -> None:
    """Replay a load pattern with several seeds and print the scores."""
    plan = LoadPlan.from_name(load)
    rows = [summarize(Replay(plan, seed).run()) for seed in range(seeds)]
    mean = statistics.mean(row['score'] for row in rows)
    if json:
        print(_dump({'load': load, 'mean': round(mean, 4), 'rows': rows}))
        return
    for row in rows:
        print(row)
    print(f'{load}: {mean:.4f}')


def _dump(report: dict[str, Any]) -> str:
    return json_codec.dumps(report, indent=2)


if __name__ == '__main__':
    fire.Fire(main)
