"""The engines listed in the store, and when that list was last confirmed."""

from collections.abc import Iterable, Mapping
from typing import Final

from hornbeamdeck.connection.address import Address
from hornbeamdeck.process.freshness import Freshness
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.wire import EngineEntry, EngineList

__all__ = ('EngineDirectory', 'engine_from_wire')

# Slowness of an engine for which no value has been learned.
UNIT_SLOWNESS: Final = 1.0
# Number of versions available for lists read at one revision of the store.
# Lists of one revision differ while engines are retained after an outage.
VERSIONS_PER_REVISION: Final = 1024
# Names of removed engines are stored because grants for them may still be in
# transit.
MAX_REMOVED_ENGINES: Final = 1024


class EngineDirectory:
    """The newest list of engines that this process has received.

    Several instances read the store independently. Versions are derived from
    the store's revisions, so a list that arrives late never replaces one that
    was read after it.
    """

    def __init__(self) -> None:
        """Start without engines; `version` 0 means that no list was read."""
        self.version = 0
        self.engines: Mapping[str, Engine] = {}
        self._removed: dict[str, None] = {}
        self._freshness = Freshness()

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

    def version_for_revision(self, revision: int) -> int | None:
        """Return the version for a list that was read at a store revision.

        :returns: `None` if the current list was read at a later revision.
        """
        if revision < self.version // VERSIONS_PER_REVISION:
            return None
        return max(revision * VERSIONS_PER_REVISION, self.version + 1)

    def confirm_revision(self, revision: int, requested_ms: float) -> None:
        """Record that a read at a store revision confirmed the current list."""
        newest = (revision + 1) * VERSIONS_PER_REVISION - 1
        self.confirm(min(self.version, newest), requested_ms)

    def age_ms(self, now: float) -> float:
        """Return the age of the last confirmation of the current list."""
        return now - self.confirmed_ms

    def confirm(self, version: int, requested_ms: float) -> None:
        """Record that a version was the newest when a request was sent.

        :param requested_ms: when the request was sent, on this process's
            clock.
        """
        self._freshness.confirm(version, requested_ms)

    def update(self, version: int, engines: Iterable[Engine]) -> bool:
        """Replace the current list if the given one is newer.

        :returns: whether it was newer.
        """
        if version <= self.version:
            return False
        listed = {engine.name: engine for engine in engines}
        self._record_removed(self.engines.keys() - listed.keys())
        for name in listed:
            self._removed.pop(name, None)
        self.version = version
        self.engines = listed
        return True

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
            version=self.version,
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

    def _record_removed(self, names: Iterable[str]) -> None:
        self._removed.update(dict.fromkeys(names))
        while len(self._removed) > MAX_REMOVED_ENGINES:
            self._removed.pop(next(iter(self._removed)))


def engine_from_wire(entry: EngineEntry) -> Engine:
    """Build an engine from an entry that a peer sent.

    :raises ValueError: if the entry's address is invalid.
    """
    return Engine(
        name=entry.name,
        service=entry.cell,
        address=str(Address.from_text(entry.address)),
        availability_zone=entry.zone,
        slots=entry.slots,
        is_draining=entry.is_leaving,
        born_ms=entry.born_ms,
        version=entry.version or '',
    )
