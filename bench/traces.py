"""Generates the demo's two traces: `python -m bench.traces`."""

import json
import pathlib
import random
from typing import Any, Final, NamedTuple

TRACE_DURATION_MS: Final = 15_000
SEED: Final = 20261203
TRACE_FOLDER: Final = pathlib.Path('hornbeamdeck/demo')


class Flow(NamedTuple):
    """Calls of one kind, with log-uniformly distributed lengths."""

    team: str
    tier: str
    calls: int
    deadline_ms: int
    prompt_chars: tuple[int, int] = (0, 0)
    output_tokens: tuple[int, int] = (0, 0)
    path: str = ''
    method: str = 'POST'


KERBRIANT: Final = (
    Flow('guides', 'urgent', 120, 3000, (150, 2500), (8, 40)),
    Flow('guides', 'standard', 40, 10_000, (300, 6000), (20, 120)),
    Flow('writers', 'long', 10, 45_000, (2000, 16_000), (200, 800)),
    Flow('families', 'urgent', 40, 3000, path='/bookings'),
    Flow('families', 'urgent', 60, 2000, path='/seats', method='GET'),
)
LUSITANIA: Final = (
    Flow('fitters', 'urgent', 60, 6000, (800, 16_000), (30, 120)),
    Flow('sales', 'standard', 90, 8000, (80, 800), (8, 60)),
    Flow('writers', 'long', 8, 45_000, (2000, 16_000), (200, 800)),
    Flow('sales', 'urgent', 30, 3000, path='/bookings'),
)


def _draw_length(rng: random.Random, bounds: tuple[int, int]) -> int:
    low, high = bounds
    if not high:
        return 0
    return int(low * (high / low) ** rng.random())


def _draw_entries(rng: random.Random, flow: Flow) -> list[dict[str, Any]]:
    return [
        {
            'at_ms': int(rng.random() * TRACE_DURATION_MS),
            'team': flow.team,
            'tier': flow.tier,
            'service': 'counter' if flow.path else 'desk',
            'deadline_ms': flow.deadline_ms,
            'method': flow.method,
            'path': flow.path,
            'idempotency_key': (
                f'{flow.team}-{rng.getrandbits(64):x}'
                if flow.path == '/bookings'
                else ''
            ),
            'prompt_chars': _draw_length(rng, flow.prompt_chars),
            'output_tokens': _draw_length(rng, flow.output_tokens),
            'is_stream': rng.random() < 0.9,
        }
        for _ in range(flow.calls)
    ]


def write_trace(name: str, flows: tuple[Flow, ...]) -> None:
    """Write one trace; the output is the same on each run."""
    rng = random.Random(SEED)
    entries = [entry for flow in flows for entry in _draw_entries(rng, flow)]
    entries.sort(key=lambda entry: int(entry['at_ms']))
    lines = ',\n'.join(json.dumps(entry) for entry in entries)
    TRACE_FOLDER.joinpath(f'{name}.json').write_text(f'[\n{lines}\n]\n')


def main() -> None:
    """Write both traces."""
    write_trace('kerbriant', KERBRIANT)
    write_trace('lusitania', LUSITANIA)


if __name__ == '__main__':
    main()
