"""Parts of prompts that end engines during a replay."""

from typing import Final

from bench.replay_load import Arrival, CrashingPart

__all__ = ('EngineEnds',)

# Number of first parts that the prompts of all kinds share.
FIRST_PARTS: Final = 40


class EngineEnds:
    """Tells which requests end their engine, and counts the ends."""

    def __init__(self, crashing: tuple[CrashingPart, ...]) -> None:
        """Set the crashing parts of the whole replay."""
        self._part_by_kind = {each.kind: each.part for each in crashing}
        # When engines ended, by the part that caused it.
        self.ends_ms: dict[str, list[float]] = {}
        # Numbers of sound requests, and of those whose response began.
        self.sound = 0
        self.begun = 0

    def parts_of(self, arrival: Arrival) -> list[str]:
        """Return the parts of a prompt that other prompts may have, too."""
        number = int(arrival.request_id.rpartition('-')[2])
        first = f'first-{number % FIRST_PARTS}'
        part = self._part_by_kind.get(arrival.kind.name)
        return [first] if part is None else [first, part]

    def record_attempt(self, arrival: Arrival) -> None:
        """Count an attempt of a caller."""
        self.sound += arrival.kind.name not in self._part_by_kind

    def record_first_token(self, arrival: Arrival, now: float) -> bool:
        """Count a response that begins; return whether its engine ends."""
        part = self._part_by_kind.get(arrival.kind.name)
        if part is None:
            self.begun += 1
            return False
        self.ends_ms.setdefault(part, []).append(now)
        return True
