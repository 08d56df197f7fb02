"""Tracks what was sent to each peer, so that only changes are sent."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from hornbeamdeck.membership.membership import Membership

__all__ = ('STATUS_RESEND_MS', 'SentUpdates')

# How often an unchanged status object is sent again to a peer: with each eighth
# heartbeat of a small fleet, which costs little. A status that was lost is
# missing for no longer than callers cache the list of addresses.
STATUS_RESEND_MS: Final = 2000


class _SentStatus(NamedTuple):
    """Status object of this instance as last sent to a peer."""

    text: str
    sent_ms: float


class _StatusSet(NamedTuple):
    """The status objects of all other instances.

    :param changes: the membership's change count at that time.
    """

    changes: int
    statuses: frozenset[str]


_EMPTY: Final = _StatusSet(-1, frozenset())


class SentUpdates:
    """Determines for each peer what has not yet been sent to it."""

    def __init__(
        self,
        membership: Membership,
        live_ids: Callable[[], Iterable[str]],
    ) -> None:
        """Start as if nothing was sent to any peer.

        :param live_ids: returns ids of instances that are live and can serve.
        """
        self._membership = membership
        self._live_ids = live_ids
        self._statuses = _EMPTY
        self._sent_statuses: dict[str, _StatusSet] = {}
        self._sent_live_ids: dict[str, frozenset[str]] = {}
        self._sent_own_status: dict[str, _SentStatus] = {}

    def drop(self, peer_id: str) -> None:
        """Drop the record of what a peer was sent, so that all is resent."""
        self._sent_statuses.pop(peer_id, None)
        self._sent_live_ids.pop(peer_id, None)
        self._sent_own_status.pop(peer_id, None)

    def unsent_statuses(self, peer_id: str) -> list[str]:
        """Return status objects of other instances not yet sent to a peer."""
        changes = self._membership.change_count
        sent = self._sent_statuses.get(peer_id, _EMPTY)
        if sent.changes == changes:
            return []
        if self._statuses.changes != changes:
            texts = (each.to_text() for each in self._membership.known_peers())
            self._statuses = _StatusSet(changes, frozenset(texts))
        self._sent_statuses[peer_id] = self._statuses
        return sorted(self._statuses.statuses - sent.statuses)

    def unsent_own_status(self, peer_id: str, now: float) -> str:
        """Return this instance's status object if it is due to be sent.

        The status object takes up half of a heartbeat's bytes and hardly ever
        changes. A heartbeat may be lost with its connection, so the status is
        sent again after `STATUS_RESEND_MS`.

        :returns: an empty string if the peer needs no status now.
        """
        text = self._membership.own_status.to_text()
        sent = self._sent_own_status.get(peer_id)
        if sent and sent.text == text and now - sent.sent_ms < STATUS_RESEND_MS:
            return ''
        self._sent_own_status[peer_id] = _SentStatus(text, now)
        return text

    def unsent_live_ids(self, peer_id: str) -> list[str] | None:
        """Return the live instances, `None` if unchanged for a peer."""
        live_ids = frozenset(self._live_ids())
        if self._sent_live_ids.get(peer_id) == live_ids:
            return None
        self._sent_live_ids[peer_id] = live_ids
        return sorted(live_ids)
