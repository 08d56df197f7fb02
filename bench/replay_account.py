"""Accounts for the value that replayed requests lose, and for engine time.

python -m bench.replay_account --load uneven_engines --seeds 6

Shows what a change to the assignment of requests to engines can gain at most
before such a change is made.
"""

import json
from collections import defaultdict
from typing import Any, Final

import fire

from bench.replay import (
    ENGINE_TO_CALLER_MS,
    Outcome,
    Replay,
)
from bench.replay_engine import (
    STEP_MS,
    STEP_MS_PER_RUN,
    EngineModel,
    Token,
)
from bench.replay_load import LoadPlan
from hornbeamdeck.scheduling.cell import Refused
from hornbeamdeck.wire import RunEnd

__all__ = ('AccountedReplay', 'account')

# Engines slower than this count as slow; the loads have 0.68 and 3.0.
SLOW_FROM: Final = 1.0
# Outputs longer than this count as long; the kinds' means are 12 to 385.
LONG_OUTPUT_TOKENS: Final = 200
SHARE_DIGITS: Final = 4
# Numbers of free slots from this on are counted together.
SEVERAL_SLOTS: Final = 3
# Beginnings of the names of sums that are counts or times, not lost value.
COUNTED: Final = ('decisions', 'long outputs', 'short outputs')

Sums = dict[str, float]


class _AccountedEngine(EngineModel):
    """An engine that adds up what its steps are spent on."""

    def __init__(
        self, slowness: float, slots: int, chunk_tokens: int, sums: Sums
    ) -> None:
        super().__init__(slowness, slots, chunk_tokens)
        self._sums = sums
        self._name = 'slow' if slowness > SLOW_FROM else 'fast'

    def step(self, now: float) -> tuple[float, list[Token]]:
        """Run one step and account for it while all slots are in use."""
        before = self.running
        is_full = before >= self._slots
        end_ms, tokens = super().step(now)
        if is_full:
            runs = min(before, self._slots)
            decode_ms = (STEP_MS + STEP_MS_PER_RUN * runs) * self._slowness
            total_ms = end_ms - now
            self._sums[f'{self._name} full ms'] += total_ms
            self._sums[f'{self._name} prefill ms'] += total_ms - decode_ms
        return end_ms, tokens


class AccountedReplay(Replay):
    """A replay that notes why each request lost its value."""

    def __init__(self, plan: LoadPlan, seed: int) -> None:
        """Set up the replay without running it."""
        super().__init__(plan, seed)
        self.sums: Sums = defaultdict(float)
        self._engines = {
            f'e{number}': _AccountedEngine(
                slowness, plan.slots, plan.chunk_tokens, self.sums
            )
            for number, slowness in enumerate(plan.slowness)
        }

    def run(self) -> list[Outcome]:
        """Run the replay and add up the value that was offered."""
        outcomes = super().run()
        self.sums['offered'] = sum(
            each.arrival.value for each in outcomes if each.result != 'held'
        )
        return outcomes

    def _grant(self) -> None:
        if len(self._cell) > 1:
            slots = sum(
                load.free_slots(self.now) for load in self._cell.loads.values()
            )
            shown = str(slots) if slots < SEVERAL_SLOTS else 'more'
            self.sums[f'decisions with {shown} free slots'] += 1
        super()._grant()

    def _finish(self, attempt: Any, result: str, end: RunEnd) -> None:
        if attempt.request_id in self._attempts:
            self._account_end(attempt, result)
        super()._finish(attempt, result, end)

    def _refuse(self, refused: Refused) -> None:
        attempt = self._attempts[refused.queued.request.request_id]
        # The requests that still wait take the slots that are free.
        slots_left = sum(
            load.free_slots(self.now)
            for load in self._cell.loads.values()
            if load.engine.name not in self._down_engines
        ) - len(self._cell)
        cause = 'refused, no free slot'
        if slots_left > 0:
            cause = 'refused beside a free slot'
        if attempt.number > 1:
            self.sums[cause] += attempt.arrival.value
        super()._refuse(refused)

    def _account_end(self, attempt: Any, result: str) -> None:
        arrival = attempt.arrival
        kind = arrival.kind
        speed = self._speed_of(attempt.engine)
        length = 'long'
        if arrival.output_tokens < LONG_OUTPUT_TOKENS:
            length = 'short'
        self.sums[f'{length} outputs on {speed} engines'] += 1
        if attempt.granted_ms:
            held_ms = self.now - attempt.granted_ms
            self.sums[f'{length} outputs on {speed} engines, slot ms'] += (
                held_ms
            )
        if result in {'broken', 'left'}:
            self.sums[result] += arrival.value
        if result != 'late':
            return
        lost = arrival.value * (1 - kind.late_worth / kind.worth)
        due_ms = arrival.at_ms + kind.objective_ms - ENGINE_TO_CALLER_MS
        if attempt.first_token_ms <= due_ms:
            self.sums[f'late gap on {speed} engines'] += lost
        elif attempt.number > 1:
            self.sums['late first token after a refusal'] += lost
        else:
            self.sums[f'late first token on {speed} engines'] += lost

    def _speed_of(self, engine: str) -> str:
        number = int(engine.removeprefix('e'))
        return 'slow' if self._plan.slowness[number] > SLOW_FROM else 'fast'


def account(load: str, seeds: int, first_seed: int = 0) -> dict[str, Any]:
    """Add up the losses of several seeds, as shares of the value offered."""
    plan = LoadPlan.from_name(load)
    totals: Sums = defaultdict(float)
    for seed in range(first_seed, first_seed + seeds):
        replay = AccountedReplay(plan, seed)
        replay.run()
        for entry, amount in replay.sums.items():
            totals[entry] += amount
    offered = totals.pop('offered')
    lost = {
        cause: round(totals[cause] / offered, SHARE_DIGITS)
        for cause in sorted(totals)
        if not cause.endswith('ms') and not cause.startswith(COUNTED)
    }
    prefill = {
        f'prefill share of full {speed} engines': round(
            totals[f'{speed} prefill ms'] / totals[f'{speed} full ms'],
            SHARE_DIGITS,
        )
        for speed in ('fast', 'slow')
        if totals[f'{speed} full ms']
    }
    counts = {
        counted: round(totals[counted])
        for counted in sorted(totals)
        if counted.startswith(COUNTED)
    }
    return {'load': load, 'lost': lost, 'prefill': prefill, 'counts': counts}


def main(load: str = 'uneven_engines', seeds: int = 6) -> None:
    """Print where a load's value on time is lost."""
    print(json.dumps(account(load, seeds), indent=2))


if __name__ == '__main__':
    fire.Fire(main)
