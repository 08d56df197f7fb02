"""Which requests upstreams have died of, as far as a cell's owner can tell.

When an upstream breaks under its runs, each of them may be the cause. A
suspect then runs again only where no other suspect runs. If an upstream breaks
under it once more, it is the culprit and is refused; if it is answered, it was
innocent. So one request, sent again and again, costs two upstreams.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple, Protocol

from hornbeamdeck.wire import RunEnd, Suspect

__all__ = ('CULPRIT_CRASHES', 'Suspicions')

CULPRIT_CRASHES: Final = 2
MEMORY_MS: Final = 600_000
SAME_CRASH_MS: Final = 2000


class BrokenUpstream(Protocol):
    """What has to be known of an upstream that broke."""

    @property
    def name(self) -> str:
        """Its name."""

    @property
    def service(self) -> str:
        """The service that it serves."""


class _Suspicion(NamedTuple):
    crashes: int
    until_ms: float


class Suspicions:
    """What is held against requests, by fingerprint."""

    def __init__(self) -> None:
        """Suspect nobody."""
        self._suspicions: dict[str, _Suspicion] = {}
        self._blamed_until_ms: dict[str, float] = {}

    def crashes(self, fingerprint: str, now: float) -> int:
        """Tell how many crashes a request is held to have caused."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return 0
        if suspicion.until_ms < now:
            self._suspicions.pop(fingerprint)
            return 0
        return suspicion.crashes

    def is_culprit(self, fingerprint: str, now: float) -> bool:
        """Whether a request is to be refused."""
        return self.crashes(fingerprint, now) >= CULPRIT_CRASHES

    def must_wait(
        self,
        fingerprint: str,
        running: Iterable[str],
        now: float,
    ) -> bool:
        """Whether a suspect is kept back while another one runs.

        With two at a time, a second crash would name neither.

        :param running: fingerprints of all runs of the cell.
        """
        if not self.crashes(fingerprint, now):
            return False
        return any(self.crashes(other, now) for other in running)

    def note(self, fingerprint: str, crashes: int, now: float) -> None:
        """Take over what another owner held against a request."""
        known = max(crashes, self.crashes(fingerprint, now))
        self._suspicions[fingerprint] = _Suspicion(known, now + MEMORY_MS)

    def clear(self, fingerprint: str) -> None:
        """Drop a suspicion, since the request has been answered."""
        self._suspicions.pop(fingerprint, None)

    def note_end(
        self,
        upstream: BrokenUpstream,
        fingerprint: str,
        end: RunEnd,
        *,
        together: Iterable[str],
        now: float,
    ) -> Suspect | None:
        """Learn from how a run ended.

        :param together: fingerprints of all runs of the upstream, this one
            included.
        :returns: whom a break is now held against, if any.
        """
        if end == RunEnd.ANSWERED:
            self.clear(fingerprint)
        if end != RunEnd.FAILED:
            return None
        blamed = self.note_break(upstream.name, fingerprint, together, now)
        if not blamed:
            return None
        return Suspect(
            cell=upstream.service,
            fingerprint=blamed,
            crashes=self.crashes(blamed, now),
        )

    def note_break(
        self,
        upstream: str,
        fingerprint: str,
        runs: Iterable[str],
        now: float,
    ) -> str:
        """Take in that an upstream broke under a run.

        :param fingerprint: of the run that was reported broken.
        :param runs: fingerprints of all runs there, this one included.
        :returns: the fingerprint that this is now held against; empty where
            the blame for this break has been laid already.
        """
        if now < self._blamed_until_ms.get(upstream, 0):
            return ''
        suspects = {each for each in runs if self.crashes(each, now)}
        blamed = fingerprint
        if len(suspects) == 1:
            # The others that break with it in the next moments are innocent.
            blamed = suspects.pop()
            self._blamed_until_ms[upstream] = now + SAME_CRASH_MS
        self.note(blamed, self.crashes(blamed, now) + 1, now)
        return blamed
