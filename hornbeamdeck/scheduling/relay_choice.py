"""Which instances to ask for a tunnel to an engine, and in which order.

Load pattern: most instances of a zone lose their path to the engines at the
same moment, so most of those that are asked can't help. The others have to
carry the load of all, so it is spread over them.
"""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

__all__ = ('RelayCandidate', 'RelayChoice')

# An instance that could not help is asked last for this time.
UNFIT_MS: Final = 2000.0


class RelayCandidate(NamedTuple):
    """An instance that serves callers.

    :param is_named: whether it is known to have reached the engine lately.
    """

    instance: str
    availability_zone: str
    is_named: bool = False


class RelayChoice:
    """Orders instances by how likely they are to help, and how near."""

    def __init__(self, draw: Callable[[], float]) -> None:
        """Start without experience.

        :param draw: returns a random number; orders equal candidates.
        """
        self._draw = draw
        self._unfit_until_ms: dict[str, float] = {}

    def record_unfit(self, instance: str, now: float) -> None:
        """Record that an instance could not help, whatever the engine."""
        self._unfit_until_ms = {
            name: until_ms
            for name, until_ms in self._unfit_until_ms.items()
            if now < until_ms
        }
        self._unfit_until_ms[instance] = now + UNFIT_MS

    def order(
        self,
        candidates: Iterable[RelayCandidate],
        availability_zone: str,
        now: float,
    ) -> list[str]:
        """Order candidates for an instance in a zone.

        :returns: ids of instances; the one to ask first comes first.
        """
        ranked = sorted(
            (
                self._unfit_until_ms.get(each.instance, now) > now,
                not each.is_named,
                each.availability_zone != availability_zone,
                self._draw(),
                each.instance,
            )
            for each in candidates
        )
        return [rank_and_id[-1] for rank_and_id in ranked]
