"""Replays a load pattern against the decisions of a cell, in model time.

python -m bench.replay --load bursts_and_losses --seeds 5 --json

The cell is the product's own; engines and callers are models, so that one
decision can be tried in seconds.
"""

import heapq
import json as json_codec
import statistics
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from typing import Any, Final, NamedTuple, TypeAlias

import fire

from bench.replay_engine import EngineModel, RunPlan, Token
from bench.replay_load import Arrival, LoadPlan, Loss, draw_arrivals
from hornbeamdeck.connection.address import Address
from hornbeamdeck.process.engine_directory import Engine
from hornbeamdeck.scheduling.cell import Refused
from hornbeamdeck.scheduling.cell_door import Shared
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.retry_budget import RetryBudget
from hornbeamdeck.scheduling.token_quota import (
    QuotaRules,
    QuotaView,
    TokenQuotas,
)
from hornbeamdeck.version.routed import EngineTraits
from hornbeamdeck.wire import Enqueue, Message, Progress, Release, RunEnd

# From a grant to the engine, and from an engine's event to the owner.
TO_ENGINE_MS: Final = 6.0
TO_OWNER_MS: Final = 3.0
# From an engine to the caller.
TO_CALLER_MS: Final = 4.0
SWEEP_MS: Final = 25.0
TOKENS_PER_EVENT: Final = 5
# Callers leave a stream that has not begun after this; an owner is told less,
# for the way back.
PATIENCE_MS: Final = 4000
WAY_BACK_MS: Final = 150
# All teams have one priority, as in the users' deployments.
TEAMS_PRIORITY: Final = 1
# Part of the time left that callers wait at most before they come back.
MAX_WAIT_SHARE: Final = 3
# What a request costs that came back and is refused again, part of its worth.
REFUSED_AGAIN: Final = 0.3
# A refusal costs nothing up to this part of its objective, and its worth at
# half from this part of the time that it had.
FREE_SHARE: Final = 0.125
HELD_SHARE: Final = 0.75
LATE_REFUSAL: Final = 0.5
# How the parts weigh in `score`, as the users weigh them.
MEAN_WEIGHT: Final = 0.6
WORST_WEIGHT: Final = 0.25
KIND_WEIGHT: Final = 0.15
WINDOW_MS: Final = 2000


_Act: TypeAlias = Callable[[], None]
_Event: TypeAlias = tuple[float, int, _Act]


class Outcome(NamedTuple):
    """What became of a request.

    :param credit: of its worth, what it earned.
    :param cost: what refusing it cost, of the same.
    """

    arrival: Arrival
    result: str
    credit: float
    cost: float


class _Try:
    """One try of a caller."""

    def __init__(self, arrival: Arrival, number: int, now: float) -> None:
        self.arrival = arrival
        self.number = number
        self.came_ms = now
        self.engine = ''
        self.granted_ms = 0.0
        self.first_ms = 0.0
        self.last_ms = 0.0
        self.longest_gap_ms = 0.0
        self.excluded: list[str] = []

    @property
    def request_id(self) -> str:
        return f'{self.arrival.request_id}#{self.number}'


class Replay:
    """One replay: a clock, a cell, engines and callers."""

    def __init__(
        self,
        plan: LoadPlan,
        seed: int,
        *,
        has_route_ranks: bool = True,
    ) -> None:
        """Set everything up; `run` plays it.

        :param has_route_ranks: whether the owner is told the routes' priorities
            beside the one that all teams have.
        """
        self.now = 0.0
        self.outcomes: list[Outcome] = []
        self._plan = plan
        self._seed = seed
        self._has_route_ranks = has_route_ranks
        self._events: list[_Event] = []
        self._count = 0
        self._tries: dict[str, _Try] = {}
        self._engines = {
            f'e{number}': EngineModel(slowness, plan.slots, plan.chunk_tokens)
            for number, slowness in enumerate(plan.slowness)
        }
        self._stepping: set[str] = set()
        self._down: set[str] = set()
        self._cell = _make_cell(plan)

    def run(self) -> list[Outcome]:
        """Play to the end.

        :returns: what became of each request.
        """
        for arrival in draw_arrivals(self._plan, self._seed):
            self._at(arrival.at_ms, partial(self._come, arrival, 1))
        for loss in self._plan.losses:
            self._at(loss.at_s * 1000, partial(self._crash, loss))
        self._at(SWEEP_MS, self._sweep)
        while self._events:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        return self.outcomes

    def _at(self, when_ms: float, act: _Act) -> None:
        self._count += 1
        heapq.heappush(self._events, (when_ms, self._count, act))

    def _sweep(self) -> None:
        self._grant()
        if self._events:
            self._at(self.now + SWEEP_MS, self._sweep)

    def _come(self, arrival: Arrival, number: int) -> None:
        attempt = _Try(arrival, number, self.now)
        self._tries[attempt.request_id] = attempt
        self._offer(attempt)

    def _offer(self, attempt: _Try) -> None:
        refused = self._cell.offer(
            self._to_enqueue(attempt),
            sender='ingress',
            deliver=_async_ignore,
            now=self.now,
        )
        if refused is not None:
            self._refuse(refused)
        self._grant()

    def _to_enqueue(self, attempt: _Try) -> Enqueue:
        arrival = attempt.arrival
        kind = arrival.kind
        left_ms = int(arrival.at_ms + kind.deadline_ms - self.now)
        return Enqueue(
            request_id=attempt.request_id,
            cell='desk',
            team='',
            tier_rank=TEAMS_PRIORITY,
            deadline_ms=left_ms,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.hint_tokens,
            excluded=list(attempt.excluded),
            fingerprint=arrival.request_id,
            objective_ms=kind.objective_ms,
            patience_ms=min(left_ms, PATIENCE_MS) - WAY_BACK_MS,
            gap_ms=kind.gap_ms,
            quota_tokens=arrival.prompt_tokens + arrival.max_tokens,
            dispatches=0,
            zone='z1',
            route_rank=kind.priority if self._has_route_ranks else None,
        )

    def _grant(self) -> None:
        for refused in list(self._cell.expire(self.now)):
            self._refuse(refused)
        for granted in list(self._cell.grants(self.now)):
            attempt = self._tries[granted.ticket.request.request_id]
            attempt.engine = granted.upstream
            attempt.granted_ms = self.now
            self._at(
                self.now + TO_ENGINE_MS,
                partial(self._reach, attempt),
            )

    def _reach(self, attempt: _Try) -> None:
        if attempt.request_id not in self._tries:
            return
        if attempt.engine in self._down:
            self._retry_on_another_engine(attempt)
            return
        arrival = attempt.arrival
        self._engines[attempt.engine].accept(
            RunPlan(
                attempt.request_id,
                arrival.prompt_tokens,
                arrival.output_tokens,
            ),
        )
        if attempt.engine not in self._stepping:
            self._stepping.add(attempt.engine)
            self._step(attempt.engine)

    def _retry_on_another_engine(self, attempt: _Try) -> None:
        """Release a grant whose engine refuses connections; enqueue again."""
        release = Release(
            request_id=attempt.request_id,
            cell='desk',
            end=RunEnd.NOT_DISPATCHED,
            total_ms=0,
        )
        attempt.excluded.append(attempt.engine)
        attempt.engine = ''
        self._at(self.now + TO_OWNER_MS, partial(self._release, release))
        self._at(self.now + TO_OWNER_MS, partial(self._offer, attempt))

    def _step(self, name: str) -> None:
        engine = self._engines[name]
        if engine.is_idle or name in self._down:
            self._stepping.discard(name)
            return
        end_ms, tokens = engine.step(self.now)
        for token in tokens:
            if (
                token.made == 1
                or token.is_last
                or not (token.made % TOKENS_PER_EVENT)
            ):
                self._at(token.at_ms, partial(self._event, token))
        self._at(end_ms, partial(self._step, name))

    def _event(self, token: Token) -> None:
        attempt = self._tries.get(token.request_id)
        if attempt is None or not attempt.engine:
            return
        if attempt.first_ms:
            gap_ms = self.now - attempt.last_ms
            attempt.longest_gap_ms = max(attempt.longest_gap_ms, gap_ms)
        else:
            attempt.first_ms = self.now
            took_ms = int(self.now - attempt.granted_ms)
            self._at(
                self.now + TO_OWNER_MS,
                partial(self._tell_first, attempt, took_ms),
            )
        attempt.last_ms = self.now
        if token.is_last:
            self._end(attempt, _judge(attempt), RunEnd.ANSWERED)

    def _tell_first(self, attempt: _Try, took_ms: int) -> None:
        message = Progress(
            request_id=attempt.request_id,
            cell='desk',
            first_token_ms=took_ms,
        )
        self._cell.progress(message, self.now)

    def _end(self, attempt: _Try, result: str, end: RunEnd) -> None:
        if self._tries.pop(attempt.request_id, None) is None:
            return
        arrival = attempt.arrival
        credits = {
            'on_time': arrival.worth,
            'late': arrival.worth
            * arrival.kind.late_worth
            / arrival.kind.worth,
        }
        credit = credits.get(result, 0.0)
        self.outcomes.append(Outcome(arrival, result, credit, 0.0))
        release = Release(
            request_id=attempt.request_id,
            cell='desk',
            end=end,
            total_ms=0,
            longest_gap_ms=int(attempt.longest_gap_ms),
        )
        self._at(self.now + TO_OWNER_MS, partial(self._release, release))

    def _release(self, release: Release) -> None:
        self._cell.release(release, self.now)
        self._grant()

    def _refuse(self, refused: Refused) -> None:
        attempt = self._tries.pop(refused.ticket.request.request_id)
        arrival = attempt.arrival
        kind = arrival.kind
        held_ms = self.now - attempt.came_ms
        left_ms = arrival.at_ms + kind.deadline_ms - self.now
        had_ms = left_ms + held_ms
        over_ms = held_ms - kind.objective_ms * FREE_SHARE
        cost = 0.0
        if over_ms > 0:
            span_ms = had_ms * HELD_SHARE - kind.objective_ms * FREE_SHARE
            cost = LATE_REFUSAL * min(over_ms / span_ms, 1) * arrival.worth
        if attempt.number == 1:
            wait_ms = min(
                refused.refusal.retry_after_ms,
                left_ms / MAX_WAIT_SHARE,
            )
            self._at(self.now + wait_ms, partial(self._come, arrival, 2))
            if cost:
                self.outcomes.append(Outcome(arrival, 'held', 0.0, cost))
            return
        cost += REFUSED_AGAIN * arrival.worth
        self.outcomes.append(Outcome(arrival, 'refused', 0.0, cost))

    def _crash(self, loss: Loss) -> None:
        name = f'e{loss.engine}'
        self._down.add(name)
        self._engines[name].crash()
        broken = [
            attempt
            for attempt in self._tries.values()
            if attempt.engine == name
        ]
        for attempt in broken:
            self._end(attempt, 'broken', RunEnd.FAILED)
        self._at(
            self.now + loss.for_s * 1000,
            partial(self._down.discard, name),
        )


async def _async_ignore(_message: Message) -> None:
    """Deliver to nobody: the replay reads what the cell gives back."""


def _judge(attempt: _Try) -> str:
    kind = attempt.arrival.kind
    first_ms = attempt.first_ms + TO_CALLER_MS - attempt.arrival.at_ms
    if attempt.first_ms - attempt.came_ms > PATIENCE_MS:
        return 'left'
    if first_ms > kind.objective_ms or attempt.longest_gap_ms > kind.gap_ms:
        return 'late'
    return 'on_time'


def _make_cell(plan: LoadPlan) -> EngineCell:
    quotas = TokenQuotas(
        QuotaView(lambda _team: 0, lambda: True, lambda: 1.0),
        QuotaRules(window_ms=8000, slack=0),
        is_first_start=True,
    )
    cell = EngineCell(
        Shared(quotas=quotas, teams={}),
        RetryBudget(ratio=0.2, slack=100, window_ms=10_000),
    )
    engines = [
        Engine(
            f'e{each}',
            'desk',
            Address('127.0.0.1', each + 1),
            'z1',
            plan.slots,
            is_leaving=False,
            born_ms=1,
        )
        for each in range(len(plan.slowness))
    ]
    traits = EngineTraits(plan.slots, TOKENS_PER_EVENT, 660_000)
    cell.adopt(engines, traits, {})
    return cell


def summarize(outcomes: list[Outcome]) -> dict[str, Any]:
    """Work out shares of worth and what became of the requests."""
    owed: dict[str, float] = defaultdict(float)
    earned: dict[str, float] = defaultdict(float)
    windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    results: dict[str, int] = defaultdict(int)
    cost = 0.0
    for outcome in outcomes:
        cost += outcome.cost
        if outcome.result == 'held':
            continue
        arrival = outcome.arrival
        owed[arrival.kind.name] += arrival.worth
        earned[arrival.kind.name] += outcome.credit
        results[f'{arrival.kind.name} {outcome.result}'] += 1
        window = windows[int(arrival.at_ms) // WINDOW_MS]
        window[0] += outcome.credit
        window[1] += arrival.worth
    total = sum(owed.values())
    shares = {kind: earned[kind] / owed[kind] for kind in owed}
    shares |= _largest_shares(outcomes)
    worst = sorted(credit / worth for credit, worth in windows.values())[:2]
    mean = sum(earned.values()) / total
    score = MEAN_WEIGHT * mean + WORST_WEIGHT * statistics.mean(worst)
    score += KIND_WEIGHT * min(shares.values()) - cost / total
    return {
        'score': round(score, 4),
        'mean': round(mean, 4),
        'worst': round(statistics.mean(worst), 4),
        'cost': round(cost / total, 4),
        'shares': {kind: round(share, 3) for kind, share in shares.items()},
        'results': dict(sorted(results.items())),
    }


def _largest_shares(outcomes: list[Outcome]) -> dict[str, float]:
    """Work out the shares of the largest tenth of each kind."""
    by_kind: dict[str, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.result != 'held':
            by_kind[outcome.arrival.kind.name].append(outcome)
    shares = {}
    for kind, all_of_kind in by_kind.items():
        all_of_kind.sort(key=lambda each: -each.arrival.prompt_tokens)
        largest = all_of_kind[: len(all_of_kind) // 10]
        worth = sum(each.arrival.worth for each in largest)
        credit = sum(each.credit for each in largest)
        shares[f'largest {kind}'] = credit / worth
    return shares


def main(
    load: str = 'bursts_and_losses',
    seeds: int = 3,
    *,
    json: bool = False,
) -> None:
    """Replay a pattern with several seeds and print what came of it."""
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
