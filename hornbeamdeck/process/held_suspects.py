"""What owners have told this ingress of requests that upstreams died of.

Owners keep such things in memory only. Were an owner's knowledge gone with it,
a request that crashes engines would get two more from each owner that follows.
"""

from typing import Final, NamedTuple

from hornbeamdeck.process.membership import Membership
from hornbeamdeck.process.owner_link import OwnerLink
from hornbeamdeck.wire import Suspect

__all__ = ('HeldSuspects',)

MAX_HELD: Final = 1000


class _Held(NamedTuple):
    suspect: Suspect
    owner: str


class HeldSuspects:
    """Suspects by fingerprint, each with the owner that knows of it."""

    def __init__(self, membership: Membership, link: OwnerLink) -> None:
        """Hold nothing yet."""
        self._membership = membership
        self._link = link
        self._held: dict[str, _Held] = {}

    def note(self, owner: str, suspect: Suspect) -> None:
        """Remember what an owner holds against a request."""
        self._held.pop(suspect.fingerprint, None)
        self._held[suspect.fingerprint] = _Held(suspect, owner)
        if len(self._held) > MAX_HELD:
            self._held.pop(next(iter(self._held)))

    def owners(self) -> set[str]:
        """Name the owners that know of these."""
        return {each.owner for each in self._held.values()}

    async def async_move(self, owner: str) -> None:
        """Tell the next owner what this one knew."""
        known = [each for each in self._held.values() if each.owner == owner]
        for suspect, _ in known:
            heir = self._membership.owner_of(suspect.cell)
            if heir != owner:
                self._held[suspect.fingerprint] = _Held(suspect, heir)
                await self._link.async_send(heir, suspect)
