"""Evidence that a request, or a part of prompts, crashes engines.

Load pattern: engines crash under several requests at once, some of them sound,
and engines also end together, for example when a rack loses power. A run that
began before the previous crash shows little about its request: only crashes in
turn, or many of them, are proof.
"""

import math
from collections.abc import Collection
from typing import Final, NamedTuple, Self

__all__ = ('POISON_CRASHES', 'Evidence', 'Sighting')

# What was running during this many crashes in turn is refused.
POISON_CRASHES: Final = 3
# The same for crashes of which only some were in turn.
MANY_CRASHES: Final = 5
MIN_CRASHES_IN_TURN: Final = 2
# A part is refused only if more than one request with it was running then.
POISON_REQUESTS: Final = 2
MAX_SIGHTINGS: Final = 32


class Sighting(NamedTuple):
    """A run that failed in a crash.

    :param crash: number of the crash.
    :param crashed_ms: when the first run failed in it.
    :param started_ms: when this run was granted.
    :param request: the fingerprint of its request.
    """

    crash: int
    crashed_ms: float
    started_ms: float
    request: str


class Evidence(NamedTuple):
    """What is held against a request or a part.

    :param sightings: in order of their crashes.
    :param reported: number of crashes that another owner has counted.
    """

    sightings: tuple[Sighting, ...] = ()
    reported: int = 0
    is_confirmed: bool = False
    expires_ms: float = 0.0

    @property
    def crash_numbers(self) -> frozenset[int]:
        """The numbers of the crashes during which it was running."""
        return frozenset(each.crash for each in self.sightings)

    @property
    def crashes(self) -> int:
        """How many there are, with those that another owner has counted."""
        return self.reported + len(self.crash_numbers)

    @property
    def crashes_in_turn(self) -> int:
        """The number of those that began after the one before."""
        count = self.reported
        last_ms = -math.inf
        last_crash = -1
        for each in self.sightings:
            if each.crash != last_crash and each.started_ms >= last_ms:
                count += 1
                last_ms = each.crashed_ms
                last_crash = each.crash
        return count

    @property
    def requests(self) -> int:
        """The number of requests that were seen, one of them reported."""
        seen = {each.request for each in self.sightings}
        return len(seen) + (self.reported > 0)

    def is_proof(self, *, is_part: bool) -> bool:
        """Return whether it is enough to refuse it."""
        if is_part and self.requests < POISON_REQUESTS:
            return False
        in_turn = self.crashes_in_turn
        return in_turn >= POISON_CRASHES or (
            in_turn >= MIN_CRASHES_IN_TURN and self.crashes >= MANY_CRASHES
        )

    def add(self, sighting: Sighting) -> Self:
        """Return the evidence with one more sighting."""
        sightings = (*self.sightings, sighting)
        return self._replace(sightings=sightings[-MAX_SIGHTINGS:])

    def without(self, crashes: Collection[int], culprit: str) -> Self:
        """Return the evidence without crashes that a culprit explains.

        :param culprit: the fingerprint of a request that was found to be the
            cause. A part of its own prompt may still be the cause behind it.
        """
        kept = tuple(
            each
            for each in self.sightings
            if each.crash not in crashes or each.request == culprit
        )
        return self._replace(sightings=kept)
