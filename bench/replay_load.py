"""Load patterns for the replay: kinds of requests, bursts, engine crashes."""

import itertools
import json
import math
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple, Self

__all__ = (
    'Arrival',
    'Brittle',
    'CrashingPart',
    'Departure',
    'InstanceLoss',
    'Kind',
    'Limit',
    'LoadPlan',
    'Partition',
    'Shed',
    'TeamLoad',
    'draw_arrivals',
)

LOADS_FOLDER: Final = Path(__file__).parent / 'loads'
# Upper limit of a drawn length, as a multiple of the mean.
MAX_LENGTH_FACTOR: Final = 10
MIN_LENGTH_TOKENS: Final = 8
# Weight of an output token in a request's size; a prompt token weighs 1.
OUTPUT_TOKEN_WEIGHT: Final = 10
# Share of a kind's value that does not depend on the request's size.
FIXED_VALUE_SHARE: Final = 0.3
# Prompt tokens that an engine prefills in one step at most, where a pattern
# does not set them.
DEFAULT_CHUNK_TOKENS: Final = 4096
# Upper limit of a request's value, as a multiple of its kind's value.
MAX_VALUE_FACTOR: Final = 4.0


class Kind(NamedTuple):
    """A kind of request, with log-normally distributed lengths.

    :param prompt_spread: standard deviation of the logarithm of the prompt's
        length.
    :param output_spread: the same for the generated output.
    :param hint_spread: the same for the caller's estimate of the output.
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
    """A higher rate for a while.

    :param kind: of the requests; empty: all kinds.
    :param team: that sends them; empty: all teams.
    """

    at_s: float
    for_s: float
    times: float
    kind: str
    team: str = ''


class TeamLoad(NamedTuple):
    """A team that sends a share of the requests of each kind.

    :param rate_per_s: its limit, which is its weight too; 0: none.
    """

    name: str
    share: float
    rate_per_s: float = 0.0


class Loss(NamedTuple):
    """A crash of an engine that is up again after `for_s`."""

    at_s: float
    for_s: float
    engine: int


class Limit(NamedTuple):
    """A request limit that an engine states for a while."""

    at_s: float
    for_s: float
    engine: int
    per_s: float


class Shed(NamedTuple):
    """A time in which an engine rejects all requests and asks for rest."""

    at_s: float
    for_s: float
    engine: int
    rest_s: float


class Departure(NamedTuple):
    """An engine that states from `at_s` on that it leaves, then is gone."""

    at_s: float
    for_s: float
    engine: int


class Brittle(NamedTuple):
    """A time in which an engine states that it is brittle.

    :param room: requests that it accepts at once; it rejects others.
    :param most_rejections: it falls over when it rejects more in a second.
    """

    at_s: float
    for_s: float
    engine: int
    room: int
    most_rejections: int


class Partition(NamedTuple):
    """A time in which the first instances do not reach any engine."""

    at_s: float
    for_s: float
    instances: int


class InstanceLoss(NamedTuple):
    """A loss of the first instances, with the connections of their callers."""

    at_s: float
    instances: int


class CrashingPart(NamedTuple):
    """A part in all prompts of a kind that ends each engine answering one."""

    kind: str
    part: str


class LoadPlan(NamedTuple):
    """A load pattern, as stored in its file in `bench/loads`.

    :param chunk_tokens: prompt tokens that an engine prefills in one step at
        most.
    :param instances: number of instances that callers connect to.
    :param versions: of the software of each engine.
    :param teams: that send the requests; empty: one team without a name.
    """

    duration_s: float
    slots: int
    slowness: tuple[float, ...]
    kinds: tuple[Kind, ...]
    bursts: tuple[Burst, ...]
    losses: tuple[Loss, ...]
    chunk_tokens: int
    limits: tuple[Limit, ...]
    sheds: tuple[Shed, ...]
    departures: tuple[Departure, ...]
    brittle: tuple[Brittle, ...]
    partitions: tuple[Partition, ...]
    instances: int
    instance_losses: tuple[InstanceLoss, ...]
    versions: tuple[str, ...]
    crashing: tuple[CrashingPart, ...]
    teams: tuple[TeamLoad, ...]

    @classmethod
    def from_name(cls, name: str) -> Self:
        """Read the pattern from its file, named without the `.json` suffix."""
        raw: dict[str, Any] = json.loads(
            (LOADS_FOLDER / f'{name}.json').read_text()
        )
        return cls(
            duration_s=raw['duration_s'],
            slots=raw['slots'],
            slowness=tuple(raw['slowness']),
            kinds=tuple(Kind(**each) for each in raw['kinds']),
            bursts=tuple(Burst(**each) for each in raw['bursts']),
            losses=tuple(Loss(**each) for each in raw['losses']),
            chunk_tokens=raw.get('chunk_tokens', DEFAULT_CHUNK_TOKENS),
            limits=tuple(Limit(**each) for each in raw.get('limits', ())),
            sheds=tuple(Shed(**each) for each in raw.get('sheds', ())),
            departures=tuple(
                Departure(**each) for each in raw.get('departures', ())
            ),
            brittle=tuple(Brittle(**each) for each in raw.get('brittle', ())),
            partitions=tuple(
                Partition(**each) for each in raw.get('partitions', ())
            ),
            instances=raw.get('instances', 1),
            instance_losses=tuple(
                InstanceLoss(**each) for each in raw.get('instance_losses', ())
            ),
            versions=tuple(
                raw.get('versions', ['v1' for _ in raw['slowness']])
            ),
            crashing=tuple(
                CrashingPart(**each) for each in raw.get('crashing', ())
            ),
            teams=tuple(TeamLoad(**each) for each in raw.get('teams', ())),
        )


class Arrival(NamedTuple):
    """A request as a caller first sends it.

    :param hint_tokens: the caller's estimate of the output's length.
    :param value: value of a response on time; it depends on the request's size.
    """

    request_id: str
    kind: Kind
    at_ms: float
    prompt_tokens: int
    output_tokens: int
    max_tokens: int
    hint_tokens: int
    value: float
    team: str = ''


def draw_arrivals(plan: LoadPlan, seed: int) -> list[Arrival]:
    """Draw all arrivals of a pattern, sorted by time.

    What a team sends does not depend on which other teams there are, so that
    the same requests can be replayed without some of the teams.
    """
    rng = random.Random(seed)
    if plan.teams:
        arrivals = [
            arrival
            for team, kind in itertools.product(plan.teams, plan.kinds)
            for arrival in _draw_arrivals_of_team(plan, kind, team, seed)
        ]
    else:
        arrivals = [
            arrival
            for kind in plan.kinds
            for arrival in _draw_arrivals_of_kind(plan, kind, rng)
        ]
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def _draw_arrivals_of_team(
    plan: LoadPlan, kind: Kind, team: TeamLoad, seed: int
) -> Iterator[Arrival]:
    rng = random.Random(f'{seed} {kind.name} {team.name}')
    of_team = kind._replace(per_s=kind.per_s * team.share)
    for arrival in _draw_arrivals_of_kind(plan, of_team, rng, team.name):
        yield arrival._replace(
            request_id=f'{team.name}-{arrival.request_id}', team=team.name
        )


def _draw_arrivals_of_kind(
    plan: LoadPlan,
    kind: Kind,
    rng: random.Random,
    team: str = '',
) -> Iterator[Arrival]:
    at_s = 0.0
    count = 0
    while at_s < plan.duration_s:
        factor = _rate_factor(plan, kind, team, at_s)
        at_s += rng.expovariate(kind.per_s * factor)
        count += 1
        yield _draw_arrival(kind, f'{kind.name}-{count}', at_s * 1000, rng)


def _draw_arrival(
    kind: Kind,
    request_id: str,
    at_ms: float,
    rng: random.Random,
) -> Arrival:
    prompt = _draw_length(kind.prompt_tokens, kind.prompt_spread, rng)
    output = _draw_length(kind.output_tokens, kind.output_spread, rng)
    hint = int(output * math.exp(rng.gauss(0, kind.hint_spread)))
    # Callers set the same output limit for all requests of a kind.
    max_tokens = int(kind.output_tokens * MAX_LENGTH_FACTOR)
    size = prompt + OUTPUT_TOKEN_WEIGHT * max_tokens
    mean_size = kind.prompt_tokens + OUTPUT_TOKEN_WEIGHT * max_tokens
    value = FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * size / mean_size
    return Arrival(
        request_id=request_id,
        kind=kind,
        at_ms=at_ms,
        prompt_tokens=prompt,
        output_tokens=output,
        max_tokens=max_tokens,
        hint_tokens=max(hint, 1),
        value=min(value, MAX_VALUE_FACTOR) * kind.worth,
    )


def _draw_length(mean: float, spread: float, rng: random.Random) -> int:
    median = mean / math.exp(spread * spread / 2)
    drawn = median * math.exp(rng.gauss(0, spread))
    return max(int(min(drawn, mean * MAX_LENGTH_FACTOR)), MIN_LENGTH_TOKENS)


def _rate_factor(plan: LoadPlan, kind: Kind, team: str, at_s: float) -> float:
    factor = 1.0
    for burst in plan.bursts:
        is_active = burst.at_s <= at_s < burst.at_s + burst.for_s
        is_of_team = burst.team in {'', team}
        if is_active and is_of_team and burst.kind in {'', kind.name}:
            factor *= burst.times
    return factor
