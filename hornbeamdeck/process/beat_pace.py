"""How often beats, probes and new links may go to the instances in front.

All instances of a fleet talk to the same few. What each of them may do at its
own pace in a fleet of a dozen overruns those few in a fleet of hundreds: first
beats are late, then links are given up for silent and opened again by all at
once, and the load of that outlasts whatever began it. So the pace falls with
the size of the fleet.
"""

import random
from collections.abc import Callable
from typing import Final

__all__ = ('BEAT_MS', 'BeatPace')

BEAT_MS: Final = 250
BEAT_PER_INSTANCE_MS: Final = 4
# Proofs grow older with each beat on their way; beyond this instances would
# read the store for themselves between beats.
MAX_BEAT_MS: Final = 1000
# Three beats and some: an instance that is silent for longer has stopped, is
# cut off or so slow that waiting for it costs more than turning to the next.
SILENT_BEATS: Final = 3.2
# An instance counts as present for this long after its last beat, at least.
PRESENT_MS: Final = 1500
# How often a silent instance that ranks before the owner is tried again.
PROBE_MS: Final = 1000
PROBE_PER_INSTANCE_MS: Final = 30
# Links that the whole fleet opens to one instance within a beat.
LINKS_PER_BEAT: Final = 64


class BeatPace:
    """The pace for a fleet of the size that is known now."""

    def __init__(self, fleet_size: Callable[[], int]) -> None:
        """Take what tells how many instances there are, this one included."""
        self._fleet_size = fleet_size
        self._probed_ms = 0.0

    @property
    def beat_ms(self) -> float:
        """Time between two beats."""
        paced_ms = BEAT_PER_INSTANCE_MS * self._fleet_size()
        return min(max(BEAT_MS, paced_ms), MAX_BEAT_MS)

    @property
    def present_ms(self) -> float:
        """Time after its last beat for which an instance is present."""
        return max(PRESENT_MS, self.silence_ms)

    @property
    def silence_ms(self) -> float:
        """Time without an answer after which a peer is given up."""
        return SILENT_BEATS * self.beat_ms

    def may_open_link(self) -> bool:
        """Draw whether to open a link in this beat, for each link anew."""
        return random.random() * self._fleet_size() < LINKS_PER_BEAT

    def probes(self, given_up: list[str], now: float) -> list[str]:
        """Draw whom to try again of the peers that have been given up."""
        probe_ms = max(PROBE_MS, PROBE_PER_INSTANCE_MS * self._fleet_size())
        if not given_up or now - self._probed_ms <= probe_ms:
            return []
        self._probed_ms = now
        most = max(LINKS_PER_BEAT // self._fleet_size(), 1)
        return random.sample(given_up, min(most, len(given_up)))
