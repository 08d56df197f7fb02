"""The engines listed in the store, and when that list was last confirmed."""

import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

import structlog

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.json_text import is_field_text, is_plain_text
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.store.freshness import Freshness
from hornbeamdeck.store.leave_notices import LeaveNotices
from hornbeamdeck.store.list_version import NO_LIST, ListVersion
from hornbeamdeck.store.listed_incarnations import ListedIncarnations
from hornbeamdeck.wire import Beat, EngineEntry, EngineList

__all__ = ('EngineDirectory',)

_LOGGER = structlog.get_logger(prefix='store')

# Slowness of an engine for which no value has been learned.
UNIT_SLOWNESS: Final = 1.0
# Names of removed engines are stored because grants for them may still be in
# transit.
MAX_REMOVED_ENGINES: Final = 1024
MAX_LOGGED: Final = 200
NO_ADDRESS: Final = Address('', 0)


class _Removed(NamedTuple):
    """A removed engine, and the era of the list that did not name it."""

    born_ms: int
    era: int


class EngineDirectory:
    """The newest list of engines that this process has received.

    Several instances read the store independently. Versions are derived from
    the store's revisions, so a list that arrives late never replaces one that
    was read after it.
    """

    def __init__(self) -> None:
        """Start without a list."""
        self.version = NO_LIST
        self.engines: Mapping[str, Engine] = {}
        # When the first list of the current era was received here.
        self.restored_ms = -math.inf
        self.notices = LeaveNotices()
        self._removed: dict[str, _Removed] = {}
        self._freshness: Freshness[ListVersion] = Freshness()
        self._incarnations = ListedIncarnations()

    @property
    def is_read(self) -> bool:
        """Whether a list was read."""
        return self.version != NO_LIST

    @property
    def era(self) -> int:
        """Era of the store that holds the current list; 0: no list was read."""
        return self.version.revision.era

    @property
    def confirmed_ms(self) -> float:
        """When the last request was sent that confirmed the current list."""
        return self._freshness.confirmed_ms(self.version)

    def is_draining_or_removed(self, name: str) -> bool:
        """Whether an engine is draining or is no longer listed."""
        engine = self.engines.get(name)
        if engine is None:
            return name in self._removed
        return engine.is_draining

    def gone_before(self, era: int) -> Mapping[str, int]:
        """Return the engines that were removed in an earlier era.

        :returns: when each was started, by name.
        """
        return {
            name: removed.born_ms
            for name, removed in self._removed.items()
            if removed.era < era
        }

    def version_for_revision(
        self, revision: StoreRevision
    ) -> ListVersion | None:
        """Return the version for a list that was read at a store revision.

        :returns: `None` if the current list was read at a later revision.
        """
        current = self.version
        if revision < current.revision:
            return None
        if revision == current.revision:
            return current._replace(edition=current.edition + 1)
        return ListVersion(revision)

    def confirm_revision(
        self, revision: StoreRevision, requested_ms: float
    ) -> None:
        """Record that a read at a store revision confirmed the current list."""
        confirmed = min(self.version, ListVersion.last_of(revision))
        self.confirm(confirmed, requested_ms)

    def age_ms(self, now: float) -> float:
        """Return the age of the last confirmation of the current list."""
        return now - self.confirmed_ms

    def confirm(self, version: ListVersion, requested_ms: float) -> None:
        """Record that a version was the newest when a request was sent.

        :param requested_ms: when the request was sent, on this process's
            clock.
        """
        self._freshness.confirm(version, requested_ms)
        self._incarnations.record_confirmed(self.confirmed_ms)

    def listed_until_ms(
        self, name: str, born_ms: int, since_ms: float
    ) -> float:
        """Return when the store was last known to list an incarnation.

        :returns: minus infinity if it was never listed, or if the store was
            away for a while since that time.
        """
        return self._incarnations.until_ms(name, born_ms, since_ms)

    def update(self, version: ListVersion, engines: Iterable[Engine]) -> bool:
        """Replace the current list if the given one is newer.

        :returns: whether it was newer.
        """
        if version <= self.version:
            return False
        if self.is_read and version.revision.era > self.era:
            self.restored_ms = now_ms()
            self._incarnations.record_restored(self.restored_ms)
        listed = self.notices.apply(engines)
        self.notices.record(listed.values())
        self._incarnations.record_replaced(listed, now_ms())
        self._record_removed(
            [each for each in self.engines.values() if each.name not in listed],
            version.revision.era,
        )
        for name, engine in listed.items():
            removed = self._removed.get(name)
            # A store that is restored twice may list an earlier incarnation.
            if removed is not None and removed.born_ms >= engine.born_ms:
                self._removed.pop(name)
        self.version = version
        self.engines = listed
        self._incarnations.record_confirmed(self.confirmed_ms)
        return True

    def is_newer_than(self, heartbeat: Beat) -> bool:
        """Whether the sender of a heartbeat lacks the current list."""
        return _reported_version(heartbeat) < self.version

    def confirm_reported(self, heartbeat: Beat, requested_ms: float) -> None:
        """Record that a peer has confirmed its version, as `confirm` does."""
        self.confirm(_reported_version(heartbeat), requested_ms)

    def update_from_wire(self, message: EngineList) -> bool:
        """Replace the current list if that of a peer is newer.

        An entry that can't be used is left out, as in a list of the store.

        :returns: whether it was newer.
        """
        engines = filter(None, map(_engine_from_wire, message.engines))
        version = ListVersion.from_wire(message.era, message.version)
        return self.update(version, engines)

    def of_service(self, service: str) -> list[Engine]:
        """Return the engines of one service."""
        return [
            engine
            for engine in self.engines.values()
            if engine.service == service
        ]

    def to_wire(self, slowness: Mapping[str, float]) -> EngineList:
        """Build the message for a peer.

        :param slowness: by engine name.
        """
        return EngineList(
            version=self.version.number_on_wire,
            era=self.era,
            engines=[
                EngineEntry(
                    name=engine.name,
                    cell=engine.service,
                    address=engine.address,
                    zone=engine.availability_zone,
                    slots=engine.slots,
                    is_leaving=engine.is_draining,
                    born_ms=engine.born_ms,
                    slowness=slowness.get(engine.name, UNIT_SLOWNESS),
                    version=engine.version,
                )
                for engine in self.engines.values()
            ],
        )

    def _record_removed(self, engines: Iterable[Engine], era: int) -> None:
        for engine in engines:
            self._removed[engine.name] = _Removed(engine.born_ms, era)
        while len(self._removed) > MAX_REMOVED_ENGINES:
            self._removed.pop(next(iter(self._removed)))


def _reported_version(heartbeat: Beat) -> ListVersion:
    return ListVersion.from_wire(
        heartbeat.engines_era, heartbeat.engines_version
    )


def _engine_from_wire(entry: EngineEntry) -> Engine | None:
    texts = (entry.cell, entry.zone, entry.version or '')
    try:
        address = Address.from_text(entry.address)
    except ValueError:
        address = NO_ADDRESS
    is_usable = is_field_text(entry.name) and all(map(is_plain_text, texts))
    if not is_usable or not address.port:
        _LOGGER.warning(
            'engine of a peer ignored', engine=ascii(entry.name)[:MAX_LOGGED]
        )
        return None
    return Engine(
        name=entry.name,
        service=entry.cell,
        address=str(address),
        availability_zone=entry.zone,
        slots=entry.slots,
        is_draining=entry.is_leaving,
        born_ms=entry.born_ms,
        version=entry.version or '',
    )
