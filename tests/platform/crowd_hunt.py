"""Searches for crowds of callers that a gateway process does not bear.

python -m tests.platform.crowd_hunt --seeds 50
"""

import json
import sys
from random import Random
from typing import NamedTuple

import fire
from curio import run

from tests.platform.crowd_kinds import (
    CHUNKED_HEAD,
    LONG_ID,
    REQUESTS,
    UNFINISHED_BODY,
    UNFINISHED_FRAME,
    UNFINISHED_HEAD,
)
from tests.platform.crowd_process import (
    DESCRIPTORS,
    async_expect_answer,
    async_started,
)
from tests.platform.crowds import Crowd, Usage, async_beside_crowd

MEMORY_MB = 128
# All crowds of a seed together.
MAX_CALLERS = 600
PIECES = (1, 100, 1460, 4096, 65_536)
PAUSES_S = (0.0, 0.001, 0.02)
_UNFINISHED = (
    ('callers', UNFINISHED_HEAD, b''),
    ('callers', UNFINISHED_BODY, b''),
    ('callers', CHUNKED_HEAD, b'1\r\nx\r\n'),
    ('callers', b'', LONG_ID),
    ('ready', UNFINISHED_HEAD, b''),
    ('metrics', UNFINISHED_HEAD, b''),
    ('peers', UNFINISHED_FRAME, b''),
    ('peers', b'', UNFINISHED_FRAME),
)
_AHEAD = tuple((listener, b'', sent) for listener, sent in REQUESTS.values())


class Beset(NamedTuple):
    """A crowd, and the listener that it connects to."""

    listener: str
    crowd: Crowd


def make_crowds(seed: int) -> list[Beset]:
    """Draw one to three crowds."""
    drawn = Random(seed)
    count = drawn.randint(1, 3)
    return [_draw(drawn, MAX_CALLERS // count) for _ in range(count)]


def _draw(drawn: Random, most_callers: int) -> Beset:
    listener, begins, repeats = drawn.choice(_UNFINISHED + _AHEAD)
    crowd = Crowd(
        connections=drawn.randint(1, most_callers),
        begins=begins,
        repeats=repeats,
        piece_bytes=drawn.choice(PIECES),
        pause_s=drawn.choice(PAUSES_S),
        until_s=drawn.uniform(1, 4),
    )
    return Beset(listener, crowd)


async def _async_hunt(seed: int) -> Usage:
    crowds = make_crowds(seed)
    async with async_started(MEMORY_MB) as process:
        placed = [
            (getattr(process.addresses, each.listener), each.crowd)
            for each in crowds
        ]
        async with async_beside_crowd(process, *placed) as usage:
            assert usage.memory_mb < MEMORY_MB
            assert usage.descriptors < DESCRIPTORS
        await async_expect_answer(process)
        return usage


def hunt(seed: int) -> Usage:
    """Check that a process bears the crowds of a seed, and answers then."""
    found: Usage = run(_async_hunt, seed)
    return found


def main(seeds: int = 10, first: int = 1) -> None:
    """Run many seeds and write a line for each.

    :param first: the first seed.
    """
    failed = []
    for seed in range(first, first + seeds):
        try:
            seen: object = hunt(seed)._asdict()
        except Exception as error:
            failed.append(seed)
            seen = repr(error)
        _write({'seed': seed, 'seen': seen})
    _write({'seeds': seeds, 'failed': failed})


def _write(line: object) -> None:
    sys.stdout.write(f'{json.dumps(line)}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(main)
