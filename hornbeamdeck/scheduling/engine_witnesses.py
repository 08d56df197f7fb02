"""Which instances have reached an engine lately, as its owner hears of it.

Load pattern: some instances lose their network path to the engines and need
others that have one. The owner hears from all of them how their runs end.
"""

from typing import Final

__all__ = ('EngineWitnesses',)

# An instance that has reached an engine is expected to reach it for this time.
WITNESS_MS: Final = 5000.0
MAX_WITNESSES: Final = 16
# How many of them a grant names.
MAX_NAMED: Final = 2


class EngineWitnesses:
    """Instances that one engine has responded to, and when."""

    def __init__(self) -> None:
        """Start without any."""
        # The instance that was named last comes last.
        self._reached_ms: dict[str, float] = {}

    def record_reached(self, instance: str, now: float) -> None:
        """Record that the engine has responded to an instance."""
        is_new = instance not in self._reached_ms
        self._reached_ms[instance] = now
        if is_new and len(self._reached_ms) > MAX_WITNESSES:
            oldest = min(self._reached_ms, key=self._reached_ms.__getitem__)
            self._reached_ms.pop(oldest)

    def record_unreached(self, instance: str) -> None:
        """Record that an instance could not reach the engine itself."""
        self._reached_ms.pop(instance, None)

    def name_others(self, instance: str, now: float) -> list[str]:
        """Name instances that can pass on requests of another one.

        Each call names those first that have not been named for longest.
        """
        named = [
            each
            for each, reached_ms in self._reached_ms.items()
            if each != instance and now - reached_ms < WITNESS_MS
        ][:MAX_NAMED]
        for each in named:
            self._reached_ms[each] = self._reached_ms.pop(each)
        return named
