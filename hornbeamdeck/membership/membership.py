"""Live instances as seen by this process, and the owner of each cell.

Three sources are merged: the status object that each instance writes once at
start, the platform's instance list, which lags behind, and the state of this
process's own connections. Connections show a failure first. The suspicion that
follows expires after seconds, or after a minute at most if it recurs, and makes
only this process use the next owner.
"""

import json
import math
from collections.abc import Iterable
from functools import lru_cache
from typing import Any, Final, NamedTuple, Self

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.json_text import is_plain_text, parse_json
from hornbeamdeck.connection.store_client import ListedInstance, StoredObject
from hornbeamdeck.const import PREFIX_INSTANCE
from hornbeamdeck.membership.rendezvous import owner_of, ranking
from hornbeamdeck.membership.suspected_instances import (
    FIRST_SUSPICION_MS,
    SuspectedInstances,
)

__all__ = ('InstanceStatus', 'Membership')

# Status objects and the platform's instance list call this state `leaving`.
STATE_DRAINING: Final = 'leaving'
STATE_LIVE: Final = 'live'
UNLISTED_GRACE_MS: Final = 10_000
# An instance that has been stopping for this long has ended.
MAX_STOP_MS: Final = 15_000
# After any status change, all status objects are serialized again for each
# peer.
STATUS_CACHE_SIZE: Final = 2048
MAX_CORES: Final = 65_536


class InstanceStatus(NamedTuple):
    """Status object that an instance writes to the store.

    :param incarnation: differs for each start of the process.
    :param cores: processor cores that it may use; 0: not reported.
    """

    instance_id: str
    address: Address
    peer_address: Address
    availability_zone: str
    incarnation: str
    state: str
    cores: float = 0

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Parse a status object.

        :raises ValueError: if the text is not a status object.
        """
        return cls(*_decode(text))

    def to_text(self) -> str:
        """Serialize the status object to JSON."""
        return _encode(self)


# Cached, since each of the first-ranked peers sends the same status objects
# and sends them again after a reconnect.
@lru_cache(maxsize=STATUS_CACHE_SIZE)
def _decode(text: str) -> InstanceStatus:
    raw = parse_json(text)
    try:
        status = InstanceStatus(
            **{
                **raw,
                'address': Address.from_text(raw['address']),
                'peer_address': Address.from_text(raw['peer_address']),
            },
        )
    except (TypeError, LookupError, AttributeError) as error:
        raise ValueError('not a status object') from error
    texts = (
        status.instance_id,
        status.availability_zone,
        status.incarnation,
        status.state,
    )
    if not all(map(is_plain_text, texts)) or not _is_amount(status.cores):
        raise ValueError('not a status object')
    return status


def _is_amount(found: Any) -> bool:
    is_number = isinstance(found, int | float) and not isinstance(found, bool)
    return is_number and 0 <= found <= MAX_CORES


@lru_cache(maxsize=STATUS_CACHE_SIZE)
def _encode(status: InstanceStatus) -> str:
    return json.dumps(
        {
            **status._asdict(),
            'address': str(status.address),
            'peer_address': str(status.peer_address),
        },
    )


class Membership:
    """The live instances and the owner of each cell among them."""

    def __init__(
        self,
        own: InstanceStatus,
        *,
        suspect_ms: int = FIRST_SUSPICION_MS,
        common_cell: str | None = None,
    ) -> None:
        """Start with this process as the only member.

        :param suspect_ms: duration in milliseconds of the first suspicion of
            an instance whose connection failed.
        :param common_cell: name that is hashed in place of every cell's name,
            so that all cells have one owner; `None`: each cell has its own.
        """
        self._common_cell = common_cell
        self._own = own
        self.suspected = SuspectedInstances(suspect_ms)
        self.is_published = False
        # Counts the calls of `apply_status`. Code that forwards statuses to
        # peers compares it to detect changes.
        self.change_count = 0
        self._statuses: dict[str, InstanceStatus] = {}
        self._first_seen_ms: dict[str, float] = {}
        self._listed_states: dict[str, str] = {}
        self._list_read_ms = -math.inf
        self._owners: dict[str, str] = {}
        self._owners_valid_until_ms = 0.0
        self._ranked: dict[str, tuple[str, ...]] = {}

    @property
    def own_status(self) -> InstanceStatus:
        """Status of this process."""
        return self._own

    @own_status.setter
    def own_status(self, status: InstanceStatus) -> None:
        self._owners.clear()
        self._ranked.clear()
        self._own = status

    def apply_status(self, change: StoredObject) -> None:
        """Apply the write or deletion of a status object."""
        self.change_count += 1
        self._owners.clear()
        self._ranked.clear()
        instance_id = change.key.removeprefix(PREFIX_INSTANCE)
        if change.body is None:
            self._statuses.pop(instance_id, None)
            self._first_seen_ms.pop(instance_id, None)
            return
        try:
            status = InstanceStatus.from_text(change.body)
        except ValueError:
            return
        if status.instance_id != instance_id:
            # Another writer's: what is known of an instance is kept by its id.
            return
        if self._statuses.get(instance_id) != status:
            self._first_seen_ms[instance_id] = now_ms()
            self.suspected.remove(instance_id)
        self._statuses[instance_id] = status

    def apply_instance_list(self, listed: tuple[ListedInstance, ...]) -> None:
        """Replace the platform's instance list by a newly read one."""
        states = {each.address: each.state for each in listed}
        has_unlisted = any(
            str(status.address) not in self._listed_states
            and self._is_in_list_grace(status)
            for status in self._statuses.values()
        )
        if states != self._listed_states or has_unlisted:
            self._owners.clear()
        self._listed_states = states
        self._list_read_ms = now_ms()

    def suspect(self, instance_id: str) -> None:
        """Suspect an instance whose connection failed."""
        self._owners.clear()
        self.suspected.add(instance_id)

    def clear_suspicion(self, instance_id: str) -> None:
        """End the suspicion of an instance that has responded."""
        if self.suspected.remove(instance_id):
            self._owners.clear()

    def status_of(self, instance_id: str) -> InstanceStatus | None:
        """Return the status of another instance, `None` if unknown."""
        return self._statuses.get(instance_id)

    def live(self) -> list[InstanceStatus]:
        """List live instances, including this one unless it is draining."""
        now = now_ms()
        others = [
            status
            for status in self._statuses.values()
            if status.instance_id != self.own_status.instance_id
            and self._is_live(status, now)
        ]
        # Until its status is published, no other instance counts this process
        # as a possible owner. If it counted itself, its cells would have two
        # owners.
        may_own = self.is_published or not others
        if self.own_status.state == STATE_LIVE and may_own:
            others.append(self.own_status)
        return others

    def stopping(self) -> list[InstanceStatus]:
        """List this process and the others that are about to end."""
        now = now_ms()
        others = [
            status
            for status in self.known_peers()
            if status.state == STATE_DRAINING
            and status.instance_id not in self.suspected
            and now - self._first_seen_ms[status.instance_id] < MAX_STOP_MS
        ]
        return [*others, self.own_status]

    def mark_published(self) -> None:
        """Record that this process's status is visible to other instances."""
        self._owners.clear()
        self.is_published = True

    def owner_of(self, cell: str) -> str:
        """Return the owner of a cell.

        If no instance is live, it is one of those that are stopping and still
        serve, the same for all of them.

        The owner is cached until a change could affect it: scoring hundreds of
        instances takes almost a millisecond, and every request needs the
        owner.
        """
        if now_ms() >= self._owners_valid_until_ms:
            self._owners.clear()
        cell = self._common_cell or cell
        owner = self._owners.get(cell)
        if owner is None:
            self._owners_valid_until_ms = self.suspected.next_expiry_ms()
            live = self.live()
            cores = _cores_by_instance(live or self.stopping())
            owner = owner_of(cell, cores, cores.__getitem__)
            owner = owner or self.own_status.instance_id
            if live:
                self._owners[cell] = owner
        return owner

    def ranked_ids(self, cell: str) -> tuple[str, ...]:
        """Rank all known instances for a cell, including suspected ones.

        Cached until the membership changes, since every instance reads the
        order for each heartbeat and several times a second besides.
        """
        ranked = self._ranked.get(cell)
        if ranked is None:
            cores = _cores_by_instance(
                (*self._statuses.values(), self.own_status)
            )
            ranked = tuple(ranking(cell, cores, cores.__getitem__))
            self._ranked[cell] = ranked
        return ranked

    def known_peers(self) -> list[InstanceStatus]:
        """List all other known instances, including those that are down."""
        return [
            status
            for status in self._statuses.values()
            if status.instance_id != self.own_status.instance_id
        ]

    def entries_for(self, caller: str, count: int) -> list[InstanceStatus]:
        """Select instances for a caller to use.

        Instances in this process's availability zone come first. The order
        within a zone depends on the caller, which spreads callers over the
        instances.
        """
        by_id = {status.instance_id: status for status in self.live()}
        ranked = [by_id[each] for each in ranking(caller, by_id)]
        ranked.sort(
            key=lambda status: (
                status.availability_zone != self.own_status.availability_zone
            ),
        )
        return ranked[:count]

    def draining_addresses(self) -> list[str]:
        """List addresses that the platform lists as draining.

        The list covers upstreams as well as instances.
        """
        return [
            address
            for address, state in self._listed_states.items()
            if state == STATE_DRAINING
        ]

    def _is_live(self, status: InstanceStatus, now: float) -> bool:
        if status.state != STATE_LIVE:
            return False
        if status.instance_id in self.suspected:
            return False
        listed = self._listed_states.get(str(status.address))
        if listed is not None:
            return listed == STATE_LIVE
        return self._is_in_list_grace(status)

    def _is_in_list_grace(self, status: InstanceStatus) -> bool:
        # The instance list lags behind, so an instance that has just started
        # is missing from it. The instance's age is taken at the time of the
        # last successful read: an old list proves nothing while the platform
        # is down, and an instance that dropped its peers because of it would
        # take over all their cells.
        seen_ms = self._first_seen_ms[status.instance_id]
        return self._list_read_ms - seen_ms < UNLISTED_GRACE_MS


def _cores_by_instance(statuses: Iterable[InstanceStatus]) -> dict[str, float]:
    """Map instances to their processor cores, which ranking compares first.

    An owner serves the whole fleet, and a small instance would be overloaded
    as owner.
    """
    return {status.instance_id: status.cores for status in statuses}
