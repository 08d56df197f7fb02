"""Which engines there are, as the store tells it, and how current that is."""

import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from hornbeamdeck.connection.address import Address
from hornbeamdeck.wire import EngineEntry, EngineList

__all__ = ('Engine', 'EngineDirectory', 'from_wire')

UNIT_SLOWNESS: Final = 1.0


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
    """The engines known here; what is newer replaces what is older."""

    def __init__(self) -> None:
        """Start without any; `version` 0 means that nothing was read."""
        self.version = 0
        self.engines: Mapping[str, Engine] = {}
        self.confirmed_ms = -math.inf

    def age_ms(self, now: float) -> float:
        """Tell how old the last proof is that this is current."""
        return now - self.confirmed_ms

    def confirm(self, version: int, asked_ms: float) -> None:
        """Note that a version was current when somebody asked.

        :param asked_ms: when the question was sent, on this process's clock.
        """
        if version >= self.version:
            self.confirmed_ms = max(self.confirmed_ms, asked_ms)

    def adopt(self, version: int, engines: Iterable[Engine]) -> bool:
        """Take over a list if it is newer.

        :returns: whether it was.
        """
        if version <= self.version:
            return False
        self.version = version
        self.engines = {engine.name: engine for engine in engines}
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
