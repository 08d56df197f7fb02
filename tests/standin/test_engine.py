"""What the engine stand-in shares with a real engine."""

from unittest import mock

import curio
import pytest

from hornbeamdeck.standin import cache as module
from hornbeamdeck.standin.batch import Batch, EngineModel, Sequence
from hornbeamdeck.standin.cache import BLOCK_CHARS, LAG_MS, PrefixCache


def test_common_prefix_is_found_and_forgotten() -> None:
    cache = PrefixCache(max_blocks=4)
    common = 'a' * BLOCK_CHARS * 2
    assert cache.take(f'{common}x') == 0
    assert cache.take(f'{common}y') == BLOCK_CHARS * 2
    cache.take('b' * BLOCK_CHARS * 8)
    assert cache.take(f'{common}z') == 0


def test_cache_events_are_late_and_have_gaps() -> None:
    """Engines tell of their caches late, and lose an event now and then. A
    scheduler that believed them would send prompts after prefixes that are
    gone.
    """
    clock = [0.0]
    with mock.patch.object(module, 'now_ms', lambda: clock[0]):
        cache = PrefixCache(max_blocks=100)
        cache.take('c' * BLOCK_CHARS * 30)
        assert cache.events(0) == []
        clock[0] = LAG_MS
        numbers = [event.sequence for event in cache.events(0)]
    assert numbers == sorted(numbers)
    assert len(numbers) < numbers[-1]


@pytest.mark.parametrize('speed', [1.0, 0.5])
def test_steps_last_longer_with_more_to_do(speed: float) -> None:
    """Time between tokens grows with the batch and time to first token with
    the prompts queued, or no policy would be better than any other.
    """
    waits: list[float] = []

    async def _async_note(seconds: float) -> None:
        waits.append(seconds)

    async def _async_steps() -> None:
        batch = Batch(EngineModel(speed=speed))
        with mock.patch('hornbeamdeck.standin.batch.sleep', _async_note):
            for tokens in (1, 1, 400):
                sequence = Sequence(prompt_tokens=tokens, output_tokens=9)
                await batch.async_admit(sequence)
                await batch._async_step()

    curio.run(_async_steps)
    assert waits == sorted(waits)
    assert waits[0] < waits[-1]
    assert waits[0] >= 0.008 / speed
