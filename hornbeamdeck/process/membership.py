"""Which instances are live, as this process sees it.

Three sources are merged: the status object that each instance writes once at
start, the platform's lagging list, and what this process's own connections
show. The last is the fastest; a suspicion lasts a few seconds and makes only
this process turn to the next owner.
"""

import json
import math
from collections.abc import Iterable
from functools import lru_cache
from typing import Final, NamedTuple, Self

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.platform import ListedInstance, StoredObject
from hornbeamdeck.process.rendezvous import owner_of, ranking
from hornbeamdeck.process.suspects import SUSPECT_MS, Suspects

__all__ = ('InstanceStatus', 'Membership')

STATE_LEAVING: Final = 'leaving'
STATE_LIVE: Final = 'live'
UNLISTED_GRACE_MS: Final = 10_000
# All statuses are written for each peer while any of them changes.
CACHED_STATUSES: Final = 2048


class InstanceStatus(NamedTuple):
    """What an instance tells of itself, in the platform.

    :param incarnation: differs for each start of the process.
    :param cores: processor share that it may use; 0: not told.
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

        :raises ValueError: where it is no status object.
        """
        return cls(*_decode(text))

    def to_text(self) -> str:
        """Write the status object."""
        return _encode(self)


# Each of the first peers by rank sends the same status objects, and sends them
# again after a reconnect.
@lru_cache(maxsize=CACHED_STATUSES)
def _decode(text: str) -> InstanceStatus:
    raw = json.loads(text)
    try:
        return InstanceStatus(
            **{
                **raw,
                'address': Address.from_text(raw['address']),
                'peer_address': Address.from_text(raw['peer_address']),
            },
        )
    except (TypeError, KeyError) as error:
        raise ValueError('not a status object') from error


@lru_cache(maxsize=CACHED_STATUSES)
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
        suspect_ms: int = SUSPECT_MS,
        common_cell: str | None = None,
    ) -> None:
        """Start knowing this process alone.

        :param suspect_ms: how long an instance that showed dead is first
            passed over, milliseconds.
        :param common_cell: what is hashed for every cell, so that all have
            one owner; `None`: each cell has its own.
        """
        self._common_cell = common_cell
        self._own = own
        self.suspects = Suspects(suspect_ms)
        self.is_published = False
        # Counts what `note_status` took in, for who passes statuses on.
        self.changes = 0
        self._statuses: dict[str, InstanceStatus] = {}
        self._first_seen_ms: dict[str, float] = {}
        self._listed: dict[str, str] = {}
        self._listed_ms = -math.inf
        self._owners: dict[str, str] = {}
        self._owners_until_ms = 0.0
        self._ranked: dict[str, tuple[str, ...]] = {}

    @property
    def own(self) -> InstanceStatus:
        """What this process tells of itself."""
        return self._own

    @own.setter
    def own(self, status: InstanceStatus) -> None:
        self._owners.clear()
        self._ranked.clear()
        self._own = status

    def note_status(self, change: StoredObject) -> None:
        """Take in a status object that was written or deleted."""
        self.changes += 1
        self._owners.clear()
        self._ranked.clear()
        instance_id = change.key.rpartition('/')[2]
        if change.body is None:
            self._statuses.pop(instance_id, None)
            self._first_seen_ms.pop(instance_id, None)
            return
        try:
            status = InstanceStatus.from_text(change.body)
        except ValueError:
            return
        if self._statuses.get(instance_id) != status:
            self._first_seen_ms[instance_id] = now_ms()
            self.suspects.remove(instance_id)
        self._statuses[instance_id] = status

    def note_listed(self, listed: tuple[ListedInstance, ...]) -> None:
        """Take in the platform's lagging list."""
        states = {each.address: each.state for each in listed}
        if states != self._listed or self._has_unlisted_in_grace():
            self._owners.clear()
        self._listed = states
        self._listed_ms = now_ms()

    def suspect(self, instance_id: str) -> None:
        """Pass over an instance that a connection showed to be dead."""
        self._owners.clear()
        self.suspects.add(instance_id)

    def clear(self, instance_id: str) -> None:
        """Trust an instance again that has answered."""
        if self.suspects.remove(instance_id):
            self._owners.clear()

    def status_of(self, instance_id: str) -> InstanceStatus | None:
        """Give what is known of an instance."""
        return self._statuses.get(instance_id)

    def live(self) -> list[InstanceStatus]:
        """List live instances, this process among them while it stays."""
        now = now_ms()
        others = [
            status
            for status in self._statuses.values()
            if status.instance_id != self.own.instance_id
            and self._is_live(status, now)
        ]
        # Until its status is written nobody else counts this process among
        # the owners; were it to count itself, its cells would have two.
        is_owner = self.is_published or not others
        if self.own.state == STATE_LIVE and is_owner:
            others.append(self.own)
        return others

    def note_published(self) -> None:
        """Take note that the others can know of this process."""
        self._owners.clear()
        self.is_published = True

    def owner_of(self, cell: str) -> str:
        """Pick the instance that owns a cell; itself where no other lives.

        What was picked is kept until something changes that could change it:
        to score hundreds of instances costs near a millisecond, and every
        request asks.
        """
        if now_ms() >= self._owners_until_ms:
            self._owners.clear()
        cell = self._common_cell or cell
        owner = self._owners.get(cell)
        if owner is None:
            self._owners_until_ms = self.suspects.next_expiry_ms()
            cores = _cores(self.live())
            owner = owner_of(cell, cores, cores.__getitem__)
            owner = owner or self.own.instance_id
            self._owners[cell] = owner
        return owner

    def ranked(self, cell: str) -> tuple[str, ...]:
        """Order all known instances for a cell, suspected ones included.

        Cached until the membership changes, since every instance reads the
        order with each beat and several times a second otherwise.
        """
        ranked = self._ranked.get(cell)
        if ranked is None:
            cores = _cores((*self._statuses.values(), self.own))
            ranked = tuple(ranking(cell, cores, cores.__getitem__))
            self._ranked[cell] = ranked
        return ranked

    def known(self) -> list[InstanceStatus]:
        """List all other instances that are known, dead ones included."""
        return [
            status
            for status in self._statuses.values()
            if status.instance_id != self.own.instance_id
        ]

    def entries(self, caller: str, count: int) -> list[InstanceStatus]:
        """Pick addresses for a caller: own zone first, spread over callers."""
        by_id = {status.instance_id: status for status in self.live()}
        ranked = [by_id[each] for each in ranking(caller, by_id)]
        ranked.sort(
            key=lambda status: (
                status.availability_zone != self.own.availability_zone
            ),
        )
        return ranked[:count]

    def leaving_addresses(self) -> list[str]:
        """List what the platform says is leaving, upstreams included."""
        return [
            address
            for address, state in self._listed.items()
            if state == STATE_LEAVING
        ]

    def _is_live(self, status: InstanceStatus, now: float) -> bool:
        if status.state != STATE_LIVE:
            return False
        if status.instance_id in self.suspects:
            return False
        listed = self._listed.get(str(status.address))
        if listed is not None:
            return listed == STATE_LIVE
        return self._is_in_grace(status)

    def _is_in_grace(self, status: InstanceStatus) -> bool:
        # The list lags: an instance that has just started is not on it yet.
        # What counts is how old it was at the last reading: while the platform
        # is down nothing can be concluded from an old list, and an instance
        # that dropped its peers would take over all their cells.
        seen_ms = self._first_seen_ms[status.instance_id]
        return self._listed_ms - seen_ms < UNLISTED_GRACE_MS

    def _has_unlisted_in_grace(self) -> bool:
        return any(
            str(status.address) not in self._listed
            and self._is_in_grace(status)
            for status in self._statuses.values()
        )


def _cores(statuses: Iterable[InstanceStatus]) -> dict[str, float]:
    """Tell what instances can carry, by which they rank before the hash.

    Owners serve the whole fleet; a small instance that owns is overrun.
    """
    return {status.instance_id: status.cores for status in statuses}
