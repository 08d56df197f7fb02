"""Which requests crash the engines that run them.

Load pattern: one request crashes each engine that begins it, and its caller
sends it again, at any instance. A connection that breaks is no crash yet: links
reset, answers get lost. Only an engine that can't be reached right after, or
that starts anew, has crashed, and then every run that broke with it may be the
cause. Whoever is answered later was innocent.
"""

from collections import deque
from typing import Final, NamedTuple

__all__ = ('CULPRIT_CRASHES', 'CrashWatch')

# A request that was on so many engines when they crashed is run no more.
CULPRIT_CRASHES: Final = 3
# Runs break and connections are refused within this time of one crash.
SAME_CRASH_MS: Final = 2500
MEMORY_MS: Final = 600_000
MAX_REMEMBERED: Final = 2000


class _Broken(NamedTuple):
    at_ms: float
    fingerprint: str


class _Blame(NamedTuple):
    crashes: int
    until_ms: float


class CrashWatch:
    """Counts crashes by the fingerprint of the requests under them."""

    def __init__(self) -> None:
        """Blame nobody."""
        self._broken: dict[str, deque[_Broken]] = {}
        self._blames: dict[str, _Blame] = {}

    def crashes(self, fingerprint: str, now: float) -> int:
        """Tell under how many crashes a request was running."""
        blame = self._blames.get(fingerprint)
        if blame is None or blame.until_ms < now:
            return 0
        return blame.crashes

    def is_culprit(self, fingerprint: str, now: float) -> bool:
        """Whether a request is to be refused."""
        return self.crashes(fingerprint, now) >= CULPRIT_CRASHES

    def note(self, fingerprint: str, crashes: int, now: float) -> None:
        """Take over what another owner held against a request."""
        known = max(crashes, self.crashes(fingerprint, now))
        self._blames[fingerprint] = _Blame(known, now + MEMORY_MS)
        if len(self._blames) > MAX_REMEMBERED:
            self._blames.pop(next(iter(self._blames)))

    def note_answered(self, fingerprint: str) -> None:
        """Clear a request that an engine has survived."""
        self._blames.pop(fingerprint, None)

    def note_broken(self, engine: str, fingerprint: str, now: float) -> None:
        """Remember that a run broke, in case its engine has crashed."""
        broken = self._broken.setdefault(engine, deque())
        broken.append(_Broken(now, fingerprint))
        while broken[0].at_ms < now - SAME_CRASH_MS:
            broken.popleft()

    def note_gone(self, engine: str, now: float) -> str:
        """Take in that an engine can't be reached or has started anew.

        :returns: the fingerprint that most is held against now, if any.
        """
        broken = self._broken.pop(engine, ())
        blamed = {
            each.fingerprint
            for each in broken
            if each.at_ms >= now - SAME_CRASH_MS
        }
        for each in blamed:
            self.note(each, self.crashes(each, now) + 1, now)
        return max(
            blamed,
            key=lambda held: self.crashes(held, now),
            default='',
        )
