"""The interface to the store, in the product's own types."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple, TypeAlias

from result import Result

from hornbeamdeck.connection.store_client import StoreUnavailable, WatchGap
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.membership.membership import InstanceStatus
from hornbeamdeck.scheduling.engine import Engine

__all__ = (
    'ConfigurationRead',
    'EngineChange',
    'EnginesRead',
    'ReadConfiguration',
    'StoreInterface',
    'StoredRecord',
)


class ConfigurationRead(NamedTuple):
    """The result of reading or watching the stored configuration.

    :param revision: revision from which the next watch starts.
    :param version: of the document, as the operator counts; it rises with each
        document, whatever happens to the store. 0: there is no document.
    :param document: its text; `None` if there is no document or no newer one.
    """

    revision: StoreRevision
    version: int
    document: str | None


class EngineChange(NamedTuple):
    """The current state of one engine's entry in the store.

    :param engine: `None` if the entry was removed or describes no usable
        engine.
    """

    name: str
    engine: Engine | None


class EnginesRead(NamedTuple):
    """The result of listing all engines, or of watching for changes.

    :param revision: the store's revision at the time of the read.
    """

    revision: StoreRevision
    changes: tuple[EngineChange, ...]


class StoredRecord(NamedTuple):
    """What the instances have recorded in the store under a name.

    :param revision: of its last change; `None`: the store holds none yet.
    :param fields: as JSON types.
    """

    revision: StoreRevision | None
    fields: Any


ReadConfiguration: TypeAlias = Callable[
    [],
    Awaitable[Result[ConfigurationRead, StoreUnavailable]],
]
WatchConfiguration: TypeAlias = Callable[
    [StoreRevision, int],
    Awaitable[Result[ConfigurationRead, StoreUnavailable | WatchGap]],
]
ListEngines: TypeAlias = Callable[
    [],
    Awaitable[Result[EnginesRead, StoreUnavailable]],
]
WatchEngines: TypeAlias = Callable[
    [StoreRevision, int],
    Awaitable[Result[EnginesRead, StoreUnavailable | WatchGap]],
]
ListInstances: TypeAlias = Callable[
    [],
    Awaitable[Result[tuple[InstanceStatus, ...], StoreUnavailable]],
]
WriteStatus: TypeAlias = Callable[
    [InstanceStatus],
    Awaitable[Result[int, StoreUnavailable]],
]
DeleteStatus: TypeAlias = Callable[
    [InstanceStatus],
    Awaitable[Result[None, StoreUnavailable]],
]


WriteRecord: TypeAlias = Callable[
    [str, StoredRecord],
    Awaitable[Result[StoredRecord, StoreUnavailable]],
]


ReadRecord: TypeAlias = Callable[
    [str],
    Awaitable[Result[StoredRecord, StoreUnavailable]],
]


ListRecords: TypeAlias = Callable[
    [],
    Awaitable[Result[Mapping[str, StoredRecord], StoreUnavailable]],
]


class StoreInterface(NamedTuple):
    """The calls to the store, as functions.

    :param watch_configuration: takes a revision and the longest wait, ms.
    :param watch_engines: takes the same arguments.
    :param write_status: writes this instance's status; overwrites an old one.
        Returns the era of the store that holds it.
    :param delete_status: deletes this instance's status.
    :param write_record: takes a record's name; creates it, or replaces it if
        the store still holds this revision. Returns what the store holds
        afterwards.
    :param read_record: takes a record's name.
    :param list_records: returns all records by name.
    """

    read_configuration: ReadConfiguration
    watch_configuration: WatchConfiguration
    list_engines: ListEngines
    watch_engines: WatchEngines
    list_instances: ListInstances
    write_status: WriteStatus
    delete_status: DeleteStatus
    write_record: WriteRecord
    read_record: ReadRecord
    list_records: ListRecords
