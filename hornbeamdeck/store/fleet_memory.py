"""All that the store remembers for a fleet that loses all its processes."""

from collections.abc import Callable, Coroutine, Iterator, Mapping
from typing import Any, NamedTuple, Self, TypeAlias

from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.store.fleet_record import FleetRecord
from hornbeamdeck.store.origin_store import OriginStore
from hornbeamdeck.store.record_relay import RecordRelay, record_from_wire
from hornbeamdeck.store.store_interface import StoreInterface
from hornbeamdeck.store.version_confirmation import VersionConfirmation
from hornbeamdeck.wire import RecordCopy

__all__ = ('FleetMemory',)

_AsyncWork: TypeAlias = Callable[[], Coroutine[Any, Any, None]]


class FleetMemory(NamedTuple):
    """What keeps the store current, and reads it when the ownership changes."""

    records: tuple[FleetRecord, ...]
    origins: OriginStore
    confirmation: VersionConfirmation
    relay: RecordRelay

    @classmethod
    def from_store(
        cls,
        store: StoreInterface,
        cells: Mapping[str, EngineCell],
        is_writer: Callable[[], bool],
        era: Callable[[], int],
        count_origins: Callable[[str, int], None],
        read_engines: Callable[[], Coroutine[Any, Any, bool]],
        relay: RecordRelay,
    ) -> Self:
        """Create all parts; nothing is called yet.

        :param cells: the cells of this process by service.
        :param is_writer: whether this process owns the fleet's cells now.
        :param era: returns the newest era of the store that is known here.
        :param count_origins: counts origins that were `read` or `written`.
        :param read_engines: reads the list of engines and returns whether the
            store has responded.
        :param relay: helps an owner that can't reach the store.
        """
        records = FleetRecord.of_every_kind(store, cells, is_writer, era)
        versions, _ = records
        return cls(
            records,
            OriginStore(store, cells, is_writer, era, count_origins),
            VersionConfirmation(versions, read_engines, cells),
            relay,
        )

    def apply_relayed(self, message: RecordCopy) -> None:
        """Apply what a successor has found in the store."""
        stored = record_from_wire(message)
        for record in self.records:
            if stored is not None and record.name == message.record_name:
                record.apply_relayed(stored)

    async def async_request_records(self) -> None:
        """Have the records written now that are outdated."""
        for record in self.records:
            await record.async_request()

    def tasks(self) -> Iterator[_AsyncWork]:
        """Return what is to be run until the process ends."""
        for record in self.records:
            yield record.async_run
        yield self.origins.async_run
        yield self.confirmation.async_run
        yield self.relay.async_run
