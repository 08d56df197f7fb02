"""Detection of requests that crash upstreams, by the owner of a cell.

When an upstream fails, each of its runs may be the cause. A suspected request
then runs again only while no other suspected request runs. If an upstream fails
again while running it, it is confirmed as the cause and refused. If it is
answered, it is cleared. So one request that is retried again and again costs
two upstreams.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple, Protocol

from hornbeamdeck.wire import RunEnd, Suspect

__all__ = ('POISON_CRASHES', 'UpstreamCrashTracker')

POISON_CRASHES: Final = 2
RETENTION_MS: Final = 600_000
SAME_CRASH_MS: Final = 2000


class FailedUpstream(Protocol):
    """The attributes of a failed upstream that are needed here."""

    @property
    def name(self) -> str:
        """Name of the upstream."""

    @property
    def service(self) -> str:
        """Service that it belongs to."""


class _Suspicion(NamedTuple):
    crashes: int
    expires_ms: float


class UpstreamCrashTracker:
    """Counts the crashes attributed to requests, by fingerprint."""

    def __init__(self) -> None:
        """Start without suspected requests."""
        self._suspicions: dict[str, _Suspicion] = {}
        self._attributed_until_ms: dict[str, float] = {}

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Return the number of crashes attributed to a request."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return 0
        if suspicion.expires_ms < now:
            self._suspicions.pop(fingerprint)
            return 0
        return suspicion.crashes

    def is_confirmed_poison(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is to be refused."""
        return self.crash_count(fingerprint, now) >= POISON_CRASHES

    def must_wait(
        self,
        fingerprint: str,
        running: Iterable[str],
        now: float,
    ) -> bool:
        """Return whether a suspected request must wait for another one to end.

        If two ran at a time, a second crash would not show which one caused it.

        :param running: fingerprints of all runs of the cell.
        """
        if not self.crash_count(fingerprint, now):
            return False
        return any(self.crash_count(other, now) for other in running)

    def merge_crash_count(
        self, fingerprint: str, crashes: int, now: float
    ) -> None:
        """Apply the number of crashes that another owner has counted."""
        crash_count = max(crashes, self.crash_count(fingerprint, now))
        self._suspicions[fingerprint] = _Suspicion(
            crash_count, now + RETENTION_MS
        )

    def clear(self, fingerprint: str) -> None:
        """Clear a request, since it has been answered."""
        self._suspicions.pop(fingerprint, None)

    def record_run_end(
        self,
        upstream: FailedUpstream,
        fingerprint: str,
        end: RunEnd,
        *,
        concurrent: Iterable[str],
        now: float,
    ) -> Suspect | None:
        """Update the suspicions by how a run ended.

        :param concurrent: fingerprints of all runs of the upstream, including
            this one.
        :returns: the request that is now suspected of a failure, if any.
        """
        if end == RunEnd.ANSWERED:
            self.clear(fingerprint)
        if end != RunEnd.FAILED:
            return None
        suspect = self.record_failure(
            upstream.name, fingerprint, concurrent, now
        )
        if not suspect:
            return None
        return Suspect(
            cell=upstream.service,
            fingerprint=suspect,
            crashes=self.crash_count(suspect, now),
        )

    def record_failure(
        self,
        upstream: str,
        fingerprint: str,
        runs: Iterable[str],
        now: float,
    ) -> str:
        """Record that an upstream failed while it executed a run.

        :param fingerprint: of the run that was reported as failed.
        :param runs: fingerprints of all runs of the upstream, including this
            one.
        :returns: the fingerprint that this failure is attributed to; empty if
            the crash has been attributed already.
        """
        if now < self._attributed_until_ms.get(upstream, 0):
            return ''
        suspects = {each for each in runs if self.crash_count(each, now)}
        suspect = fingerprint
        if len(suspects) == 1:
            # The other runs that fail with it in the next moments did not cause
            # the crash.
            suspect = suspects.pop()
            self._attributed_until_ms[upstream] = now + SAME_CRASH_MS
        self.merge_crash_count(suspect, self.crash_count(suspect, now) + 1, now)
        return suspect
