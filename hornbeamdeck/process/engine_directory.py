"""Which engines there are, as the store tells it, and how current that is."""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from hornbeamdeck.connection.address import Address
from hornbeamdeck.process.freshness import Freshness
from hornbeamdeck.wire import EngineEntry, EngineList

__all__ = ('Engine', 'EngineDirectory', 'from_wire')

UNIT_SLOWNESS: Final = 1.0
# Versions for lists read at one revision of the store; they differ while
# engines are missed for a moment after an outage.
LISTS_PER_REVISION: Final = 1024
# Names of engines that are gone are kept for grants that are still on the way.
REMEMBERED_GONE: Final = 1024


class Engine(NamedTuple):
    """One incarnation of an upstream.

    :param name: its id; together with `born_ms` it names an incarnation.
    :param slots: requests that it works on at once.
    """

    name: str
    service: str
    address: Address
    availability_zone: str
    slots: int
    is_leaving: bool
    born_ms: int


class EngineDirectory:
    """The engines known here; what is newer replaces what is older.

    Several instances read the store, each at its own pace. Versions follow the
    store's revisions, so that a list which arrives late never replaces one that
    was read after it.
    """

    def __init__(self) -> None:
        """Start without any; `version` 0 means that nothing was read."""
        self.version = 0
        self.engines: Mapping[str, Engine] = {}
        self._gone: dict[str, None] = {}
        self._proofs = Freshness()

    @property
    def confirmed_ms(self) -> float:
        """When somebody last asked to whom this list was current."""
        return self._proofs.confirmed_ms(self.version)

    def has_left(self, name: str) -> bool:
        """Whether an engine has said that it leaves, or is no longer listed."""
        engine = self.engines.get(name)
        if engine is None:
            return name in self._gone
        return engine.is_leaving

    def version_at(self, revision: int) -> int | None:
        """Give the version for a list that was read at a revision.

        :returns: `None` where what is held was read at a later one.
        """
        if revision < self.version // LISTS_PER_REVISION:
            return None
        return max(revision * LISTS_PER_REVISION, self.version + 1)

    def confirm_at(self, revision: int, asked_ms: float) -> None:
        """Note that what is held was current, as a read at a revision shows."""
        newest = (revision + 1) * LISTS_PER_REVISION - 1
        self.confirm(min(self.version, newest), asked_ms)

    def age_ms(self, now: float) -> float:
        """Tell how old the last proof is that this is current."""
        return now - self.confirmed_ms

    def confirm(self, version: int, asked_ms: float) -> None:
        """Note that a version was current when somebody asked.

        :param asked_ms: when the question was sent, on this process's clock.
        """
        self._proofs.confirm(version, asked_ms)

    def adopt(self, version: int, engines: Iterable[Engine]) -> bool:
        """Take over a list if it is newer.

        :returns: whether it was.
        """
        if version <= self.version:
            return False
        listed = {engine.name: engine for engine in engines}
        self._remember_gone(self.engines.keys() - listed.keys())
        for name in listed:
            self._gone.pop(name, None)
        self.version = version
        self.engines = listed
        return True

    def of_service(self, service: str) -> list[Engine]:
        """List the engines of one service."""
        return [
            engine
            for engine in self.engines.values()
            if engine.service == service
        ]

    def to_wire(self, slowness: Mapping[str, float]) -> EngineList:
        """Write the list for a peer, with what was learned of each engine."""
        return EngineList(
            version=self.version,
            engines=[
                EngineEntry(
                    name=engine.name,
                    cell=engine.service,
                    address=str(engine.address),
                    zone=engine.availability_zone,
                    slots=engine.slots,
                    is_leaving=engine.is_leaving,
                    born_ms=engine.born_ms,
                    slowness=slowness.get(engine.name, UNIT_SLOWNESS),
                )
                for engine in self.engines.values()
            ],
        )

    def _remember_gone(self, names: Iterable[str]) -> None:
        self._gone.update(dict.fromkeys(names))
        while len(self._gone) > REMEMBERED_GONE:
            self._gone.pop(next(iter(self._gone)))


def from_wire(entry: EngineEntry) -> Engine:
    """Read an engine that a peer told of.

    :raises ValueError: where its address is none.
    """
    return Engine(
        name=entry.name,
        service=entry.cell,
        address=Address.from_text(entry.address),
        availability_zone=entry.zone,
        slots=entry.slots,
        is_leaving=entry.is_leaving,
        born_ms=entry.born_ms,
    )
