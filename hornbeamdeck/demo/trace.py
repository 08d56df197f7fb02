"""Recorded traces: the calls, their times and their tiers."""

import json
from importlib import resources
from typing import Any, Final, NamedTuple, Self

__all__ = ('TraceEntry', 'load_trace')


FILLER: Final = 'list of windows, caps and gills; '
MAX_FILLER_REPEATS: Final = 2000


class TraceEntry(NamedTuple):
    """A call of a trace.

    :param at_ms: time of the call, milliseconds since the start of the trace.
    :param path: path below `/services/<service>` of a plain call; empty for a
        completion.
    :param prompt_chars: prompt length of a completion.
    :param output_tokens: response length of a completion.
    """

    at_ms: int
    team: str
    tier: str
    service: str
    deadline_ms: int
    method: str = 'POST'
    path: str = ''
    idempotency_key: str = ''
    prompt_chars: int = 0
    output_tokens: int = 0
    is_stream: bool = True

    @classmethod
    def from_config(cls, raw: dict[str, Any]) -> Self:
        """Build from one object of a trace file."""
        return cls(**raw)

    def make_prompt(self, number: int) -> str:
        """Build a prompt that is unique for each entry number."""
        head = f'{number} {self.team} '
        return (head + FILLER * MAX_FILLER_REPEATS)[
            : max(self.prompt_chars, len(head))
        ]


def load_trace(name: str) -> tuple[TraceEntry, ...]:
    """Load a trace from the package data."""
    files = resources.files('hornbeamdeck.demo')
    text = files.joinpath(f'{name}.json').read_text()
    return tuple(map(TraceEntry.from_config, json.loads(text)))
