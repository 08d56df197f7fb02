"""Suspected poison requests that owners have reported to this ingress.

Owners store their records of requests that crash engines only in memory. If a
record were lost with its owner, the request would crash two more engines under
each following owner.
"""

from typing import Final, NamedTuple

from hornbeamdeck.membership.membership import Membership
from hornbeamdeck.ownership.owner_link import OwnerLink
from hornbeamdeck.wire import Suspect

__all__ = ('PoisonReports',)

MAX_REPORTS: Final = 1000


class _Report(NamedTuple):
    suspect: Suspect
    owner: str


class PoisonReports:
    """Suspected requests by fingerprint, each with the owner that has it."""

    def __init__(self, membership: Membership, link: OwnerLink) -> None:
        """Start without suspected requests."""
        self._membership = membership
        self._link = link
        self._reports: dict[str, _Report] = {}

    def record(self, owner: str, suspect: Suspect) -> None:
        """Record a suspected request that an owner reports."""
        self._reports.pop(suspect.fingerprint, None)
        self._reports[suspect.fingerprint] = _Report(suspect, owner)
        if len(self._reports) > MAX_REPORTS:
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
                self._reports[suspect.fingerprint] = _Report(suspect, successor)
                await self._link.async_send(successor, suspect)
