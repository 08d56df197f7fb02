"""Which instances live, as beats show it."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from hornbeamdeck.clock import now_ms
from hornbeamdeck.process.beat_pace import BeatPace
from hornbeamdeck.process.membership import (
    STATE_LIVE,
    InstanceStatus,
    Membership,
)

__all__ = ('FLEET_CELL', 'INFORMED', 'Attendance', 'Heard')

# All cells of the fleet have one owner today; this is what is hashed for it.
FLEET_CELL: Final = 'fleet'
# How many of the first-ranked instances are kept informed.
INFORMED: Final = 3
# While this process is so young, it takes all it knows of for present.
YOUNG_MS: Final = 2000
# How long a computed share of the fleet is cached.
SHARE_CACHE_MS: Final = 50


class Heard(NamedTuple):
    """The last beat of a peer.

    :param stamp_ms: its clock when it sent the beat.
    :param at_ms: this process's clock when it arrived.
    """

    stamp_ms: int
    at_ms: float
    is_usable: bool


class Attendance:
    """Who has been heard of, here or by the owner."""

    def __init__(
        self,
        membership: Membership,
        version: Callable[[], int],
        pace: BeatPace,
    ) -> None:
        """Begin to count this process's age.

        :param version: tells the version of the configuration held here.
        :param pace: how often instances of this fleet beat.
        """
        self.started_ms = now_ms()
        self._membership = membership
        self._version = version
        self._pace = pace
        self._heard: dict[str, Heard] = {}
        self._present: dict[str, frozenset[str]] = {}
        self._share = 1.0
        self._share_until_ms = 0.0

    def hear(self, peer_id: str, stamp_ms: int, *, is_usable: bool) -> None:
        """Note a beat of a peer.

        :param is_usable: whether it can serve.
        """
        self._heard[peer_id] = Heard(stamp_ms, now_ms(), is_usable)

    def heard(self, peer_id: str) -> Heard:
        """Give the last beat of a peer; stamp 0 where there is none."""
        return self._heard.get(peer_id, Heard(0, now_ms(), is_usable=False))

    def forget(self, peer_id: str) -> None:
        """Take a peer for absent that has fallen silent."""
        self._heard.pop(peer_id, None)

    def take_present(self, peer_id: str, present: Iterable[str]) -> None:
        """Take over whom a peer has heard of; the owner's word counts."""
        self._present[peer_id] = frozenset(present)

    def present(self) -> set[str]:
        """Name the instances that live and can serve, as known here."""
        own = self._membership.own
        told = self._present.get(self._membership.owner_of(FLEET_CELL))
        if told and not self._is_informed():
            heard = set(told)
        else:
            heard = self._recently_heard()
        if own.state == STATE_LIVE and self._version():
            heard.add(own.instance_id)
        else:
            heard.discard(own.instance_id)
        return heard

    def usable(self) -> list[InstanceStatus]:
        """List the instances that callers may be sent to."""
        membership = self._membership
        statuses = map(membership.status_of, self.present())
        others = [
            status
            for status in statuses
            if status is not None
            and status.state == STATE_LIVE
            and status.instance_id != membership.own.instance_id
        ]
        if membership.own.state == STATE_LIVE and self._version():
            others.append(membership.own)
        return others

    def share(self) -> float:
        """Tell which part of the known instances this one hears of.

        Cached, since each request reads it several times.
        """
        now = now_ms()
        if now >= self._share_until_ms:
            self._share = self._compute_share(now)
            self._share_until_ms = now + SHARE_CACHE_MS
        return self._share

    def rank(self) -> int:
        """Tell this process's place among all instances, the owner's is 0."""
        own_id = self._membership.own.instance_id
        return self._membership.ranked(FLEET_CELL).index(own_id)

    def _compute_share(self, now: float) -> float:
        if now - self.started_ms < YOUNG_MS:
            # Nobody has had the time to be heard of.
            return 1.0
        known = self._membership.known()
        live = sum(each.state == STATE_LIVE for each in known)
        since_ms = now - self._pace.present_ms
        heard = sum(heard.at_ms > since_ms for heard in self._heard.values())
        return min((heard + 1) / (live + 1), 1.0)

    def _recently_heard(self) -> set[str]:
        now = now_ms()
        since_ms = now - self._pace.present_ms
        heard = {
            peer_id
            for peer_id, heard in self._heard.items()
            if heard.is_usable and heard.at_ms > since_ms
        }
        if now - self.started_ms < YOUNG_MS:
            known = self._membership.known()
            heard |= {each.instance_id for each in known}
        return heard

    def _is_informed(self) -> bool:
        return self.rank() < INFORMED
