"""Goodput by tier and wasted prefill under a policy and a load.

python -m bench.load --policy grant --load 1.5 --seed 1 --json
"""

import json
import math
import random
from typing import Any, Final, NamedTuple

import curio
import fire

from bench.processes import Plan, ProcessFleet, ask, process_fleet
from hornbeamdeck.demo.caller import CallRecord
from hornbeamdeck.demo.replay import async_replay
from hornbeamdeck.demo.report import format_table, tier_rows
from hornbeamdeck.demo.trace import TraceEntry
from hornbeamdeck.standin.batch import EngineModel
from hornbeamdeck.standin.engine import CHARS_PER_TOKEN

DEFAULT_DURATION_S: Final = 30.0


class Share(NamedTuple):
    """A tier's share of the calls and their lengths, drawn log-uniformly."""

    team: str
    tier: str
    weight: float
    deadline_ms: int
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]


MIX: Final = (
    Share('guides', 'urgent', 0.45, 3000, (40, 800), (8, 60)),
    Share('sales', 'standard', 0.4, 6000, (40, 1600), (16, 160)),
    Share('writers', 'long', 0.15, 30_000, (400, 4000), (80, 800)),
)


class LoadReport(NamedTuple):
    """What a run showed.

    :param goodput: by tier, answers whole and in time over those asked for.
    :param wasted_prefill: prefilled tokens of runs that did not end, over all.
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
    plan: Plan,
    *,
    load: float,
    seed: int,
    duration_s: float,
) -> list[TraceEntry]:
    """Draw Poisson arrivals at a multiple of what the engines can do."""
    draw = random.Random(seed)
    rate_per_ms = load * capacity_per_s(plan) / 1000
    entries: list[TraceEntry] = []
    at_ms = draw.expovariate(rate_per_ms)
    while at_ms < duration_s * 1000:
        share = draw.choices(MIX, [each.weight for each in MIX])[0]
        entries.append(_entry(draw, share, int(at_ms)))
        at_ms += draw.expovariate(rate_per_ms)
    return entries


def capacity_per_s(plan: Plan) -> float:
    """Work out how many calls of the mix all engines together end a second.

    A call's share of an engine, with the batch full: its prefill, and for
    each output token its part of a step.
    """
    model = EngineModel()
    step_ms = model.step_ms / model.max_batch + model.step_per_answer_ms
    cost_ms = sum(
        share.weight
        * (
            _mean(share.prompt_tokens) * model.prefill_token_ms
            + _mean(share.output_tokens) * step_ms
        )
        for share in MIX
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
    :param load: offered load over what the engines can do.
    """
    plan = Plan(policy=policy)
    trace = make_trace(plan, load=load, seed=seed, duration_s=duration_s)
    records: list[CallRecord] = []
    with process_fleet(plan) as fleet:
        addresses = [instance.address for instance in fleet.instances]
        curio.run(async_replay, trace, addresses, records.append)
        report = _report(fleet, records, load, seed, duration_s)
    if json:
        print(_to_json(report))
        return
    print(format_table(tier_rows(records)))
    print(f'wasted prefill {report.wasted_prefill:.4f}')


def _report(
    fleet: ProcessFleet,
    records: list[CallRecord],
    load: float,
    seed: int,
    duration_s: float,
) -> LoadReport:
    rows = tier_rows(records)
    counts = [
        ask(engine.address, '/standin/records') for engine in fleet.engines
    ]
    prefilled = sum(each['prefilled_tokens'] for each in counts)
    wasted = sum(each['wasted_prefill_tokens'] for each in counts)
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


def _entry(draw: random.Random, share: Share, at_ms: int) -> TraceEntry:
    return TraceEntry(
        at_ms=at_ms,
        team=share.team,
        tier=share.tier,
        service='desk',
        deadline_ms=share.deadline_ms,
        prompt_chars=_draw(draw, share.prompt_tokens) * CHARS_PER_TOKEN,
        output_tokens=_draw(draw, share.output_tokens),
    )


def _draw(draw: random.Random, bounds: tuple[int, int]) -> int:
    low, high = bounds
    return int(low * (high / low) ** draw.random())


def _mean(bounds: tuple[int, int]) -> float:
    low, high = bounds
    return (high - low) / math.log(high / low)


def _to_json(report: LoadReport) -> str:
    return json.dumps(report._asdict())


if __name__ == '__main__':
    fire.Fire(run)
