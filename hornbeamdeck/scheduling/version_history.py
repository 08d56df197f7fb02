"""Which versions of a service's engines may have begun a stream lately.

A caller may go on with a stream that no instance remembers: those that did have
died. That is safe only while a single version can have begun it.
"""

import math
from collections.abc import Collection, Iterable
from typing import Final

from hornbeamdeck.scheduling.tenure import OwnedSince, never_owned

__all__ = ('HISTORY_MS', 'VersionHistory')

# Callers go on with streams for no longer than this.
HISTORY_MS: Final = 120_000.0
# How long a new version waits for its record while others serve. A store that
# takes no writes must not keep engines from being used. Only streams that can
# be resumed wait until it is recorded: one that outlives all processes would
# go on at a version that the record takes for the only one.
MAX_HOLD_MS: Final = 1000.0


class VersionHistory:
    """Versions that were listed within `HISTORY_MS`."""

    def __init__(self, owned_since: OwnedSince = never_owned) -> None:
        """Start without versions; what was listed before is not known.

        :param owned_since: returns since when this process has been the only
            owner.
        """
        self._owned_since = owned_since
        # Whether what the store holds of the past has been read.
        self.is_read = False
        # When the store was last asked for the record of all versions.
        self._recorded_ms = -math.inf
        # By version that is listed now.
        self._listed_since_ms: dict[str, float] = {}
        # What the store holds; `None`: nothing that a reader would rely on.
        self._recorded: frozenset[str] | None = None
        # When versions that are not listed any more were listed last.
        self._gone_ms: dict[str, float] = {}
        self._known_since_ms = math.inf
        # When a version that is not known may have begun a stream.
        self._unlisted_ms = -math.inf

    def update(self, listed: Iterable[str], now: float) -> None:
        """Record the versions that are listed now."""
        self._known_since_ms = min(self._known_since_ms, now)
        self._gone_ms.update(dict.fromkeys(self._listed_since_ms, now))
        self._listed_since_ms = {
            version: self._listed_since_ms.get(version, now)
            for version in listed
        }
        self._gone_ms = {
            version: gone_ms
            for version, gone_ms in self._gone_ms.items()
            if version not in self._listed_since_ms
            and gone_ms >= now - HISTORY_MS
        }

    def add_earlier(
        self, versions: Iterable[str], now: float, *, is_complete: bool = True
    ) -> None:
        """Add versions that were listed before the first update.

        :param is_complete: whether they are all of them.
        """
        self.is_read = True
        if is_complete:
            self._known_since_ms = -math.inf
        for version in versions:
            gone_ms = self._gone_ms.get(version, -math.inf)
            if version not in self._listed_since_ms:
                is_past = gone_ms < now - HISTORY_MS
                self._gone_ms[version] = now if is_past else gone_ms

    def confirm_recorded(self, asked_ms: float) -> None:
        """Record that the store holds no other version than those known here.

        :param asked_ms: when the store was asked.
        """
        self._recorded_ms = max(self._recorded_ms, asked_ms)

    def is_confirmed_since(
        self, since_ms: float, engines_confirmed_ms: float
    ) -> bool:
        """Return whether no version that is not known here served by a time.

        A version is listed, and recorded before it begins streams. An instance
        that is out of step may have missed both.

        :param engines_confirmed_ms: when the store was last asked for the list
            of engines that is held here.
        """
        return min(self._recorded_ms, engines_confirmed_ms) >= since_ms

    def record_unlisted(self, now: float) -> None:
        """Record that a version that was never listed may begin streams."""
        self._unlisted_ms = now

    def has_unlisted(self, now: float) -> bool:
        """Return whether such a version may have begun streams lately."""
        return self._unlisted_ms > now - HISTORY_MS

    def apply_recorded(self, versions: Collection[str] | None) -> None:
        """Set which versions a process without memory would take for all.

        :param versions: `None`: it would take none for that.
        """
        self._recorded = None if versions is None else frozenset(versions)

    @property
    def listed(self) -> frozenset[str]:
        """The versions that are listed now."""
        return frozenset(self._listed_since_ms)

    def unrecorded(
        self, now: float, *, is_resumable: bool = False
    ) -> frozenset[str]:
        """Return new versions whose streams would outlast all knowledge.

        :param is_resumable: whether callers may go on with these streams.
        """
        if self._recorded is None:
            return frozenset()
        return frozenset(
            version
            for version, since_ms in self._listed_since_ms.items()
            if version not in self._recorded
            and (is_resumable or now < since_ms + MAX_HOLD_MS)
        )

    def may_vouch(self, now: float) -> bool:
        """Return whether no other owner can have begun streams unnoticed.

        That is so if this process has been the only owner since the store
        named all versions, or for all the time that matters.
        """
        proven_ms = max(self._recorded_ms, now - HISTORY_MS)
        return self.is_complete(now) and self._owned_since(now) <= proven_ms

    def lacks_proof(self, now: float) -> bool:
        """Return whether the store was not asked since the ownership began."""
        return self._recorded_ms < self._owned_since(now) < math.inf

    def is_complete(self, now: float) -> bool:
        """Return whether all versions of the last `HISTORY_MS` are known."""
        known_since_ms = max(self._known_since_ms, self._unlisted_ms)
        return known_since_ms <= now - HISTORY_MS

    def is_ambiguous(self, now: float) -> bool:
        """Return whether several versions can have begun streams."""
        return (
            self.is_read
            and bool(self._listed_since_ms)
            and self.only_version(now) is None
        )

    def versions(self, now: float) -> frozenset[str]:
        """Return the known versions."""
        return frozenset(self._listed_since_ms).union(
            version
            for version, gone_ms in self._gone_ms.items()
            if gone_ms >= now - HISTORY_MS
        )

    def only_version(self, now: float) -> str | None:
        """Return the version if there was a single one, else `None`."""
        versions = self.versions(now)
        if not self.is_complete(now) or len(versions) != 1:
            return None
        return next(iter(versions))
