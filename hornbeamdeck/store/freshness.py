"""Records when a process's copy of stored data was last known to be current.

A revoked key must stop working on every instance within a bound, including an
instance that is cut off and receives no updates. A confirmation therefore
counts from the moment at which the request to the store was sent, on a clock
that also runs while the machine is suspended, and a request with a key is
served only while the confirmation is young enough.
"""

import math
from typing import Final, Generic, TypeVar

from hornbeamdeck.store.list_version import ListVersion

__all__ = ('Freshness',)

# New versions may appear faster than a process applies them, so confirmations
# are stored for several versions.
MAX_CONFIRMED_VERSIONS: Final = 16


# Versions of a configuration, or of lists of engines.
_Version = TypeVar('_Version', int, ListVersion)


class Freshness(Generic[_Version]):
    """The latest confirmation of each of the newest versions."""

    def __init__(self) -> None:
        """Start without confirmations."""
        self._confirmed_ms: dict[_Version, float] = {}

    @property
    def newest_confirmed_version(self) -> _Version | None:
        """Newest confirmed version; `None`: none."""
        return max(self._confirmed_ms, default=None)

    def confirm(self, version: _Version, requested_ms: float) -> None:
        """Record that a version was the newest at the time of a request.

        :param requested_ms: when the request to the store was sent, on this
            process's clock.
        """
        known_ms = self._confirmed_ms.get(version, -math.inf)
        self._confirmed_ms[version] = max(known_ms, requested_ms)
        if len(self._confirmed_ms) > MAX_CONFIRMED_VERSIONS:
            self._confirmed_ms.pop(min(self._confirmed_ms))

    def confirmed_ms(self, version: _Version) -> float:
        """Return the latest time at which no newer version was stored.

        A process that holds a version also holds every earlier change, so
        confirmations of older versions count for it. Confirmations of newer
        versions do not.
        """
        return max(
            (
                requested_ms
                for confirmed, requested_ms in self._confirmed_ms.items()
                if confirmed <= version
            ),
            default=-math.inf,
        )

    def age_ms(self, version: _Version, now: float) -> float:
        """Return the age of the confirmation for a version."""
        return now - self.confirmed_ms(version)
