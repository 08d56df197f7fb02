"""What the process asks of the store, in the product's own types."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

from result import Result

from hornbeamdeck.connection.platform import PlatformDown, WatchGap
from hornbeamdeck.process.engine_directory import Engine
from hornbeamdeck.process.membership import InstanceStatus

__all__ = (
    'ConfigurationRead',
    'EngineChange',
    'EnginesRead',
    'ReadConfiguration',
    'StoreAccess',
)


class ConfigurationRead(NamedTuple):
    """The stored configuration.

    :param revision: of the document, or asked from next in a watch.
    :param document: its text; `None` where there is none, or no newer one.
    """

    revision: int
    document: str | None


class EngineChange(NamedTuple):
    """What the store holds under one engine's name.

    :param engine: `None` where the entry is gone or names no usable engine.
    """

    name: str
    engine: Engine | None


class EnginesRead(NamedTuple):
    """All engines, or those that changed.

    :param at: the store's revision that this holds for.
    """

    at: int
    changes: tuple[EngineChange, ...]


ReadConfiguration: TypeAlias = Callable[
    [],
    Awaitable[Result[ConfigurationRead, PlatformDown]],
]
WatchConfiguration: TypeAlias = Callable[
    [int, int],
    Awaitable[Result[ConfigurationRead, PlatformDown | WatchGap]],
]
ListEngines: TypeAlias = Callable[
    [],
    Awaitable[Result[EnginesRead, PlatformDown]],
]
WatchEngines: TypeAlias = Callable[
    [int, int],
    Awaitable[Result[EnginesRead, PlatformDown | WatchGap]],
]
ListInstances: TypeAlias = Callable[
    [],
    Awaitable[Result[tuple[InstanceStatus, ...], PlatformDown]],
]
Publish: TypeAlias = Callable[
    [InstanceStatus],
    Awaitable[Result[None, PlatformDown]],
]


class StoreAccess(NamedTuple):
    """The calls to the store, as closures.

    :param watch_configuration: takes a revision and how long to wait, ms.
    :param watch_engines: the same.
    :param publish: writes the own status, whatever stands there.
    :param withdraw: deletes it.
    """

    read_configuration: ReadConfiguration
    watch_configuration: WatchConfiguration
    list_engines: ListEngines
    watch_engines: WatchEngines
    list_instances: ListInstances
    publish: Publish
    withdraw: Publish
