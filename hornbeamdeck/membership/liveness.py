"""Liveness of instances as derived from heartbeats."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from hornbeamdeck.clock import now_ms
from hornbeamdeck.membership.heartbeat_pace import HeartbeatPace
from hornbeamdeck.membership.membership import (
    STATE_LIVE,
    InstanceStatus,
    Membership,
)

__all__ = ('FLEET_CELL', 'HEARTBEAT_RECEIVERS', 'Liveness', 'LastHeartbeat')

# All cells of the fleet have one owner today, chosen by hashing this name.
FLEET_CELL: Final = 'fleet'
# How many of the first-ranked instances receive the heartbeats of all others.
HEARTBEAT_RECEIVERS: Final = 3
# During this time after its start, this process assumes that all known
# instances are live.
STARTUP_GRACE_MS: Final = 2000
# A process that has learned of no peer in this time is alone. Reading their
# entries takes milliseconds while the store responds.
ALONE_AFTER_MS: Final = 1000
# How long a computed share of the fleet is cached.
SHARE_CACHE_MS: Final = 50
# Heartbeats that an instance may miss before limits count it as another
# owner's. An owner is replaced after more, so that its successor rarely counts
# instances that it counts, too.
MAX_HEARTBEAT_AGE: Final = 2


class LastHeartbeat(NamedTuple):
    """The last heartbeat of a peer.

    :param stamp_ms: the peer's clock when it sent the heartbeat.
    :param received_ms: this process's clock when the heartbeat arrived.
    :param can_serve: whether the peer can serve requests.
    """

    stamp_ms: int
    received_ms: float
    can_serve: bool


class Liveness:
    """Instances whose heartbeats reach this process or the owner."""

    def __init__(
        self,
        membership: Membership,
        configuration_version: Callable[[], int],
        pace: HeartbeatPace,
    ) -> None:
        """Start without heartbeats; this process's age counts from now.

        :param configuration_version: returns the configuration version held
            here.
        :param pace: intervals of heartbeats in this fleet.
        """
        self.started_ms = now_ms()
        self._membership = membership
        self._configuration_version = configuration_version
        self._pace = pace
        self._last_heartbeats: dict[str, LastHeartbeat] = {}
        self._reported_live: dict[str, frozenset[str]] = {}
        self._share = 1.0
        self._share_until_ms = 0.0
        self._heard_share = 1.0
        self._heard_share_until_ms = 0.0

    def record_heartbeat(
        self, peer_id: str, stamp_ms: int, *, can_serve: bool
    ) -> None:
        """Record a heartbeat of a peer.

        :param can_serve: whether the peer can serve requests.
        """
        self._last_heartbeats[peer_id] = LastHeartbeat(
            stamp_ms, now_ms(), can_serve
        )

    def last_heartbeat(self, peer_id: str) -> LastHeartbeat:
        """Return the last heartbeat of a peer; stamp 0 if there is none."""
        return self._last_heartbeats.get(
            peer_id, LastHeartbeat(0, now_ms(), can_serve=False)
        )

    def is_told_of_all(self) -> bool:
        """Return whether a peer tells this instance of all others.

        Those that receive heartbeats do, and have to find each other first.
        """
        return bool(self._last_heartbeats) and not self._is_heartbeat_receiver()

    def has_settled(self) -> bool:
        """Return whether this process has had time to learn of its peers.

        Until then it believes to be alone, and so to be the owner.
        """
        age_ms = now_ms() - self.started_ms
        return bool(self._membership.known_peers()) or age_ms > ALONE_AFTER_MS

    def drop(self, peer_id: str) -> None:
        """Drop the last heartbeat of a peer that no longer responds."""
        self._last_heartbeats.pop(peer_id, None)

    def record_reported_live(
        self, peer_id: str, live_ids: Iterable[str]
    ) -> None:
        """Record the live instances that a peer reports.

        Only the owner's report is used.
        """
        self._reported_live[peer_id] = frozenset(live_ids)

    def live_ids(self) -> set[str]:
        """Return the ids of instances that are live and can serve."""
        own = self._membership.own_status
        reported = self._reported_live.get(
            self._membership.owner_of(FLEET_CELL)
        )
        if reported and not self._is_heartbeat_receiver():
            live_ids = set(reported)
        else:
            live_ids = self._recent_peers()
        if own.state == STATE_LIVE and self._configuration_version():
            live_ids.add(own.instance_id)
        else:
            live_ids.discard(own.instance_id)
        return live_ids

    def serving_instances(self) -> list[InstanceStatus]:
        """List the instances that may serve callers."""
        membership = self._membership
        statuses = map(membership.status_of, self.live_ids())
        others = [
            status
            for status in statuses
            if status is not None
            and status.state == STATE_LIVE
            and status.instance_id != membership.own_status.instance_id
        ]
        if (
            membership.own_status.state == STATE_LIVE
            and self._configuration_version()
        ):
            others.append(membership.own_status)
        return others

    def serving_ids(self) -> list[str]:
        """List the ids of the instances that may serve callers."""
        return [status.instance_id for status in self.serving_instances()]

    def live_share(self) -> float:
        """Return the share of known live instances with recent heartbeats.

        Cached, since each request reads it several times.
        """
        now = now_ms()
        if now >= self._share_until_ms:
            self._share = self._share_since(
                now, self._pace.liveness_timeout_ms, STARTUP_GRACE_MS
            )
            self._share_until_ms = now + SHARE_CACHE_MS
        return self._share

    @property
    def recency_ms(self) -> float:
        """Age up to which a heartbeat counts in `heard_share`."""
        return MAX_HEARTBEAT_AGE * self._pace.interval_ms

    def heard_share(self) -> float:
        """Return the share of known live instances heard of very recently.

        Unlike `live_share`, it falls before another owner takes over.
        """
        now = now_ms()
        if now >= self._heard_share_until_ms:
            self._heard_share = self._share_since(
                now, self.recency_ms, self.recency_ms
            )
            self._heard_share_until_ms = now + SHARE_CACHE_MS
        return self._heard_share

    def rank(self) -> int:
        """Return this process's rank among all instances; the owner has 0."""
        own_id = self._membership.own_status.instance_id
        return self._membership.ranked_ids(FLEET_CELL).index(own_id)

    def _share_since(
        self, now: float, max_age_ms: float, grace_ms: float
    ) -> float:
        """Return the share of known live instances with recent heartbeats.

        :param max_age_ms: largest age of a heartbeat that counts.
        :param grace_ms: time after this process's start in which others have
            not had the time to send one.
        """
        if now - self.started_ms < grace_ms:
            return 1.0
        known = self._membership.known_peers()
        live = sum(each.state == STATE_LIVE for each in known)
        since_ms = now - max_age_ms
        recent = sum(
            last.received_ms > since_ms
            for last in self._last_heartbeats.values()
        )
        return min((recent + 1) / (live + 1), 1.0)

    def _recent_peers(self) -> set[str]:
        now = now_ms()
        since_ms = now - self._pace.liveness_timeout_ms
        recent_ids = {
            peer_id
            for peer_id, last in self._last_heartbeats.items()
            if last.can_serve and last.received_ms > since_ms
        }
        if now - self.started_ms < STARTUP_GRACE_MS:
            known = self._membership.known_peers()
            recent_ids |= {each.instance_id for each in known}
        return recent_ids

    def _is_heartbeat_receiver(self) -> bool:
        return self.rank() < HEARTBEAT_RECEIVERS
