"""Load patterns for the replay: kinds of requests, bursts, engines lost."""

import json
import math
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple, Self

__all__ = ('Arrival', 'Kind', 'LoadPlan', 'draw_arrivals')

LOADS: Final = Path(__file__).parent / 'loads'
# The longest length, as a multiple of the mean.
MAX_FACTOR: Final = 10
MIN_TOKENS: Final = 8
# What an output token counts in a request's size, against a prompt token.
OUTPUT_WEIGHT: Final = 10
FIXED_WORTH: Final = 0.3
# What engines read in one step where a pattern does not say.
CHUNK_TOKENS: Final = 4096
MAX_WORTH: Final = 4.0


class Kind(NamedTuple):
    """A kind of request, lengths drawn log-normally.

    :param prompt_spread: ratio of a length one standard deviation above the
        median to the median, as a logarithm.
    :param output_spread: the same for what is made.
    :param hint_spread: the same for the caller's guess of what is made.
    """

    name: str
    priority: int
    per_s: float
    prompt_tokens: float
    output_tokens: float
    prompt_spread: float
    output_spread: float
    hint_spread: float
    objective_ms: int
    gap_ms: int
    deadline_ms: int
    worth: float
    late_worth: float


class Burst(NamedTuple):
    """More of some kind for a while; `kind` empty: of all."""

    at_s: float
    for_s: float
    times: float
    kind: str


class Loss(NamedTuple):
    """An engine that crashes and is back after a while."""

    at_s: float
    for_s: float
    engine: int


class LoadPlan(NamedTuple):
    """A load pattern, as its file in `bench/loads` holds it.

    :param chunk_tokens: of prompts, that an engine reads in one step at most.
    """

    duration_s: float
    slots: int
    slowness: tuple[float, ...]
    kinds: tuple[Kind, ...]
    bursts: tuple[Burst, ...]
    losses: tuple[Loss, ...]
    chunk_tokens: int

    @classmethod
    def from_name(cls, name: str) -> Self:
        """Read a pattern by its file's name without the ending."""
        raw: dict[str, Any] = json.loads((LOADS / f'{name}.json').read_text())
        return cls(
            duration_s=raw['duration_s'],
            slots=raw['slots'],
            slowness=tuple(raw['slowness']),
            kinds=tuple(Kind(**each) for each in raw['kinds']),
            bursts=tuple(Burst(**each) for each in raw['bursts']),
            losses=tuple(Loss(**each) for each in raw['losses']),
            chunk_tokens=raw.get('chunk_tokens', CHUNK_TOKENS),
        )


class Arrival(NamedTuple):
    """A request as a caller first sends it.

    :param worth: what its answer on time is worth, by its size.
    :param hint_tokens: the caller's guess of its output.
    """

    request_id: str
    kind: Kind
    at_ms: float
    prompt_tokens: int
    output_tokens: int
    max_tokens: int
    hint_tokens: int
    worth: float


def draw_arrivals(plan: LoadPlan, seed: int) -> list[Arrival]:
    """Draw all arrivals of a pattern, in order of time."""
    draw = random.Random(seed)
    arrivals = [
        arrival for kind in plan.kinds for arrival in _of_kind(plan, kind, draw)
    ]
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def _of_kind(
    plan: LoadPlan,
    kind: Kind,
    draw: random.Random,
) -> Iterator[Arrival]:
    at_s = 0.0
    count = 0
    while at_s < plan.duration_s:
        times = _times(plan, kind, at_s)
        at_s += draw.expovariate(kind.per_s * times)
        count += 1
        yield _draw_one(kind, f'{kind.name}-{count}', at_s * 1000, draw)


def _draw_one(
    kind: Kind,
    request_id: str,
    at_ms: float,
    draw: random.Random,
) -> Arrival:
    prompt = _length(kind.prompt_tokens, kind.prompt_spread, draw)
    output = _length(kind.output_tokens, kind.output_spread, draw)
    hint = int(output * math.exp(draw.gauss(0, kind.hint_spread)))
    # Callers allow the same for all requests of a kind.
    max_tokens = int(kind.output_tokens * MAX_FACTOR)
    size = prompt + OUTPUT_WEIGHT * max_tokens
    mean = kind.prompt_tokens + OUTPUT_WEIGHT * max_tokens
    worth = FIXED_WORTH + (1 - FIXED_WORTH) * size / mean
    return Arrival(
        request_id=request_id,
        kind=kind,
        at_ms=at_ms,
        prompt_tokens=prompt,
        output_tokens=output,
        max_tokens=max_tokens,
        hint_tokens=max(hint, 1),
        worth=min(worth, MAX_WORTH) * kind.worth,
    )


def _length(mean: float, spread: float, draw: random.Random) -> int:
    median = mean / math.exp(spread * spread / 2)
    drawn = median * math.exp(draw.gauss(0, spread))
    return max(int(min(drawn, mean * MAX_FACTOR)), MIN_TOKENS)


def _times(plan: LoadPlan, kind: Kind, at_s: float) -> float:
    times = 1.0
    for burst in plan.bursts:
        is_now = burst.at_s <= at_s < burst.at_s + burst.for_s
        if is_now and burst.kind in {'', kind.name}:
            times *= burst.times
    return times
