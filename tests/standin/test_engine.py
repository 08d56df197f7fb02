"""Tests that the engine stand-in behaves like a real engine."""

from unittest import mock

import curio
import pytest

from hornbeamdeck.standin import prefix_cache as cache_module
from hornbeamdeck.standin.batch import Batch, EngineTiming, Sequence
from hornbeamdeck.standin.prefix_cache import (
    BLOCK_CHARS,
    EVENT_LAG_MS,
    PrefixCache,
)


def test_common_prefix_is_cached_until_evicted() -> None:
    prefix_cache = PrefixCache(max_blocks=4)
    common = 'a' * BLOCK_CHARS * 2
    assert prefix_cache.store_prompt(f'{common}x') == 0
    assert prefix_cache.store_prompt(f'{common}y') == BLOCK_CHARS * 2
    prefix_cache.store_prompt('b' * BLOCK_CHARS * 8)
    assert prefix_cache.store_prompt(f'{common}z') == 0


def test_cache_events_are_late_and_have_gaps() -> None:
    """Engines publish cache events late and lose some of them. A scheduler that
    relied on the events would route prompts to engines that have already
    evicted the prefix.
    """
    clock = [0.0]
    with mock.patch.object(cache_module, 'now_ms', lambda: clock[0]):
        prefix_cache = PrefixCache(max_blocks=100)
        prefix_cache.store_prompt('c' * BLOCK_CHARS * 30)
        assert prefix_cache.events(0) == []
        clock[0] = EVENT_LAG_MS
        numbers = [event.sequence for event in prefix_cache.events(0)]
    assert numbers == sorted(numbers)
    assert len(numbers) < numbers[-1]


@pytest.mark.parametrize('speed', [1.0, 0.5])
def test_step_duration_grows_with_load(speed: float) -> None:
    """The time between tokens grows with the batch and the time to first token
    with the queued prompts. Otherwise all scheduling policies would perform
    the same.
    """
    durations_s: list[float] = []

    async def _async_record_sleep(seconds: float) -> None:
        durations_s.append(seconds)

    async def _async_steps() -> None:
        batch = Batch(EngineTiming(speed=speed))
        with mock.patch(
            'hornbeamdeck.standin.batch.sleep', _async_record_sleep
        ):
            for tokens in (1, 1, 400):
                sequence = Sequence(prompt_tokens=tokens, output_tokens=9)
                await batch.async_admit(sequence)
                await batch._async_step()

    curio.run(_async_steps)
    assert durations_s == sorted(durations_s)
    assert durations_s[0] < durations_s[-1]
    assert durations_s[0] >= 0.008 / speed
