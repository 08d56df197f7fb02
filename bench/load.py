"""Measures goodput by tier and wasted prefill under a policy and a load.

python -m bench.load --policy grant --load 1.5 --seed 1 --json
"""

import json
import math
import random
from typing import Any, Final, NamedTuple

import curio
import fire

from bench.processes import (
    ProcessFleet,
    ProcessFleetPlan,
    fetch_json,
    process_fleet,
)
from hornbeamdeck.demo.client import CallResult
from hornbeamdeck.demo.replay import async_replay_trace
from hornbeamdeck.demo.report import format_table, summarize_by_tier
from hornbeamdeck.demo.trace import TraceEntry
from hornbeamdeck.standin.batch import EngineTiming
from hornbeamdeck.standin.engine import CHARS_PER_TOKEN

DEFAULT_DURATION_S: Final = 30.0


class TierShare(NamedTuple):
    """A tier's share of the calls, with log-uniformly distributed lengths."""

    team: str
    tier: str
    weight: float
    deadline_ms: int
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]


CALL_MIX: Final = (
    TierShare('guides', 'urgent', 0.45, 3000, (40, 800), (8, 60)),
    TierShare('sales', 'standard', 0.4, 6000, (40, 1600), (16, 160)),
    TierShare('writers', 'long', 0.15, 30_000, (400, 4000), (80, 800)),
)


class LoadReport(NamedTuple):
    """The figures of one run.

    :param goodput: by tier, complete responses in time as a share of the
        requests.
    :param wasted_prefill: prefilled tokens of runs that were not completed, as
        a share of all prefilled tokens.
    """

    policy: str
    load: float
    seed: int
    asked_per_s: float
    goodput: dict[str, float]
    wasted_prefill: float
    prefilled_tokens: int
    tiers: list[dict[str, Any]]


def make_trace(
    plan: ProcessFleetPlan,
    *,
    load: float,
    seed: int,
    duration_s: float,
) -> list[TraceEntry]:
    """Draw Poisson arrivals at a multiple of the engines' capacity."""
    rng = random.Random(seed)
    rate_per_ms = load * capacity_per_s(plan) / 1000
    entries: list[TraceEntry] = []
    at_ms = rng.expovariate(rate_per_ms)
    while at_ms < duration_s * 1000:
        share = rng.choices(CALL_MIX, [each.weight for each in CALL_MIX])[0]
        entries.append(_make_entry(rng, share, int(at_ms)))
        at_ms += rng.expovariate(rate_per_ms)
    return entries


def capacity_per_s(plan: ProcessFleetPlan) -> float:
    """Compute how many calls of the mix all engines can complete per second.

    The cost of a call, with a full batch, is the time for its prefill plus its
    share of a step for each output token.
    """
    timing = EngineTiming()
    step_ms = (
        timing.step_ms / timing.max_batch_size + timing.step_per_sequence_ms
    )
    cost_ms = sum(
        share.weight
        * (
            _mean_length(share.prompt_tokens) * timing.prefill_token_ms
            + _mean_length(share.output_tokens) * step_ms
        )
        for share in CALL_MIX
    )
    return sum(plan.speeds) * 1000 / cost_ms


def run(
    policy: str = 'grant',
    load: float = 1.5,
    seed: int = 1,
    json: bool = False,
    duration_s: float = DEFAULT_DURATION_S,
) -> None:
    """Run one load against a fleet of separate processes.

    :param policy: grant, round_robin or least_reported_load.
    :param load: offered load as a multiple of the engines' capacity.
    """
    plan = ProcessFleetPlan(policy=policy)
    trace = make_trace(plan, load=load, seed=seed, duration_s=duration_s)
    records: list[CallResult] = []
    with process_fleet(plan) as fleet:
        addresses = [instance.address for instance in fleet.instances]
        curio.run(async_replay_trace, trace, addresses, records.append)
        report = _make_report(fleet, records, load, seed, duration_s)
    if json:
        print(_to_json(report))
        return
    print(format_table(summarize_by_tier(records)))
    print(f'wasted prefill {report.wasted_prefill:.4f}')


def _make_report(
    fleet: ProcessFleet,
    records: list[CallResult],
    load: float,
    seed: int,
    duration_s: float,
) -> LoadReport:
    rows = summarize_by_tier(records)
    records_by_engine = [
        fetch_json(engine.address, '/standin/records')
        for engine in fleet.engines
    ]
    prefilled = sum(each['prefilled_tokens'] for each in records_by_engine)
    wasted = sum(each['wasted_prefill_tokens'] for each in records_by_engine)
    return LoadReport(
        policy=fleet.plan.policy,
        load=load,
        seed=seed,
        asked_per_s=round(len(records) / duration_s, 1),
        goodput={row.tier: round(row.in_time / row.asked, 4) for row in rows},
        wasted_prefill=round(wasted / max(prefilled, 1), 4),
        prefilled_tokens=prefilled,
        tiers=[row._asdict() for row in rows],
    )


def _make_entry(rng: random.Random, share: TierShare, at_ms: int) -> TraceEntry:
    return TraceEntry(
        at_ms=at_ms,
        team=share.team,
        tier=share.tier,
        service='desk',
        deadline_ms=share.deadline_ms,
        prompt_chars=_draw_length(rng, share.prompt_tokens) * CHARS_PER_TOKEN,
        output_tokens=_draw_length(rng, share.output_tokens),
    )


def _draw_length(rng: random.Random, bounds: tuple[int, int]) -> int:
    low, high = bounds
    return int(low * (high / low) ** rng.random())


def _mean_length(bounds: tuple[int, int]) -> float:
    low, high = bounds
    return (high - low) / math.log(high / low)


def _to_json(report: LoadReport) -> str:
    return json.dumps(report._asdict())


if __name__ == '__main__':
    fire.Fire(run)
