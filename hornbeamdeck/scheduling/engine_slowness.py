"""Speed of an engine, learned from its times to first token.

Load pattern: engines differ several times in speed, and some turn slow under
load. A sound engine may be silent for a second as well, which delays the first
tokens of all requests that it has just got. These say nothing of its speed.
"""

from typing import Final

__all__ = ('learned_slowness',)

# A sample's weight grows with the time that the model expects for it: the
# longer that is, the smaller the network's share of the observed time.
SAMPLE_WEIGHT_MS: Final = 150.0
# A sample counts as at most this many times slower than the estimate.
MAX_SAMPLE_RATIO: Final = 3.0
MIN_SLOWNESS: Final = 0.2
MAX_SLOWNESS: Final = 30.0


def learned_slowness(
    slowness: float, expected_ms: float, elapsed_ms: float
) -> float:
    """Return an engine's slowness after one more observation.

    :param expected_ms: time to first token that was expected at slowness 1.
    :param elapsed_ms: the observed one.
    """
    weight = expected_ms / (expected_ms + SAMPLE_WEIGHT_MS)
    observed = min(elapsed_ms / expected_ms, slowness * MAX_SAMPLE_RATIO)
    learned = slowness + weight * (observed - slowness)
    return min(max(learned, MIN_SLOWNESS), MAX_SLOWNESS)
