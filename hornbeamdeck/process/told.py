"""What peers have been told of instances, so that they are told the rest."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from hornbeamdeck.process.membership import Membership

__all__ = ('TELL_AGAIN_MS', 'Told')

# How often a peer is told the same status object: each eighth beat, so that it
# costs little and one that was lost is missed for no longer than callers keep
# an addresses answer.
TELL_AGAIN_MS: Final = 2000


class _ToldStatus(NamedTuple):
    """The own status object as a peer was told it.

    :param at_ms: when.
    """

    text: str
    at_ms: float


class _Known(NamedTuple):
    """The status objects of all other instances.

    :param changes: the membership's count of changes then.
    """

    changes: int
    statuses: frozenset[str]


_NOTHING: Final = _Known(-1, frozenset())


class Told:
    """Keeps for each peer what it lacks."""

    def __init__(
        self,
        membership: Membership,
        present: Callable[[], Iterable[str]],
    ) -> None:
        """Have told nobody anything.

        :param present: names the instances that live and can serve.
        """
        self._membership = membership
        self._present = present
        self._known = _NOTHING
        self._told_known: dict[str, _Known] = {}
        self._told_present: dict[str, frozenset[str]] = {}
        self._told_status: dict[str, _ToldStatus] = {}

    def forget(self, peer_id: str) -> None:
        """Tell a peer everything again."""
        self._told_known.pop(peer_id, None)
        self._told_present.pop(peer_id, None)
        self._told_status.pop(peer_id, None)

    def untold_statuses(self, peer_id: str) -> list[str]:
        """Give the status objects of others that a peer lacks."""
        changes = self._membership.changes
        told = self._told_known.get(peer_id, _NOTHING)
        if told.changes == changes:
            return []
        if self._known.changes != changes:
            texts = (each.to_text() for each in self._membership.known())
            self._known = _Known(changes, frozenset(texts))
        self._told_known[peer_id] = self._known
        return sorted(self._known.statuses - told.statuses)

    def untold_status(self, peer_id: str, now: float) -> str:
        """Give the own status object where a peer is to be told it.

        It is half of a beat's bytes and hardly ever changes. A beat may be
        lost with its connection, so it is told again after a while.
        """
        text = self._membership.own.to_text()
        told = self._told_status.get(peer_id)
        if told and told.text == text and now - told.at_ms < TELL_AGAIN_MS:
            return ''
        self._told_status[peer_id] = _ToldStatus(text, now)
        return text

    def untold_present(self, peer_id: str) -> list[str] | None:
        """Name who is present, where that is not what a peer was told."""
        present = frozenset(self._present())
        if self._told_present.get(peer_id) == present:
            return None
        self._told_present[peer_id] = present
        return sorted(present)
