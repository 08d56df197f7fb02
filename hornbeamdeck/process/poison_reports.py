"""Poison requests that owners have reported to this ingress.

Owners keep reports of requests that crash engines in memory only. If the
reports were lost with an owner, such a request would crash two more engines
under each following owner.
"""

from typing import Final, NamedTuple

from hornbeamdeck.process.membership import Membership
from hornbeamdeck.process.owner_link import OwnerLink
from hornbeamdeck.wire import Suspect

__all__ = ('PoisonReports',)

MAX_SUSPECTS: Final = 1000


class _ReportedSuspect(NamedTuple):
    suspect: Suspect
    owner: str


class PoisonReports:
    """Suspected requests by fingerprint, each with the owner that has it."""

    def __init__(self, membership: Membership, link: OwnerLink) -> None:
        """Start without suspected requests."""
        self._membership = membership
        self._link = link
        self._reports: dict[str, _ReportedSuspect] = {}

    def record(self, owner: str, suspect: Suspect) -> None:
        """Record a suspected request that an owner reports."""
        self._reports.pop(suspect.fingerprint, None)
        self._reports[suspect.fingerprint] = _ReportedSuspect(suspect, owner)
        if len(self._reports) > MAX_SUSPECTS:
            self._reports.pop(next(iter(self._reports)))

    def owners(self) -> set[str]:
        """Return the owners that have any of these suspected requests."""
        return {each.owner for each in self._reports.values()}

    async def async_move_to_successor(self, owner: str) -> None:
        """Report an owner's suspected requests to its successors."""
        reported = [
            each for each in self._reports.values() if each.owner == owner
        ]
        for suspect, _ in reported:
            successor = self._membership.owner_of(suspect.cell)
            if successor != owner:
                self._reports[suspect.fingerprint] = _ReportedSuspect(
                    suspect, successor
                )
                await self._link.async_send(successor, suspect)
