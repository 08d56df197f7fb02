"""The orders for roll-outs as the store returns them."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

from result import Result

from hornbeamdeck.connection.store_client import StoreUnavailable, WatchGap
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.scheduling.rollout import RolloutOrder, RolloutPhase

__all__ = (
    'RolloutChange',
    'RolloutStore',
    'RolloutsRead',
    'StoredRollout',
)


class StoredRollout(NamedTuple):
    """An order in the store, with the status that the fleet has given it.

    :param revision: of the object's last change.
    :param order: `None` if the object can't be read as an order.
    :param phase: as far as the status tells; `None`: the order has no status.
    :param started_unix_ms: when the fleet began, by the wall clock of the
        process that did; 0: not known.
    """

    revision: StoreRevision
    order: RolloutOrder | None
    phase: RolloutPhase | None
    started_unix_ms: int


class RolloutChange(NamedTuple):
    """The current state of one service's order.

    :param stored: `None` if it was withdrawn.
    """

    service: str
    stored: StoredRollout | None


class RolloutsRead(NamedTuple):
    """The result of listing all orders, or of watching for changes.

    :param revision: the store's revision at the time of the read.
    """

    revision: StoreRevision
    changes: tuple[RolloutChange, ...]


ListRollouts: TypeAlias = Callable[
    [],
    Awaitable[Result[RolloutsRead, StoreUnavailable]],
]
WatchRollouts: TypeAlias = Callable[
    [StoreRevision, int],
    Awaitable[Result[RolloutsRead, StoreUnavailable | WatchGap]],
]
WriteRollout: TypeAlias = Callable[
    [str, StoredRollout],
    Awaitable[Result[RolloutChange, StoreUnavailable]],
]


class RolloutStore(NamedTuple):
    """The calls to the store, as functions.

    :param watch_rollouts: takes a revision and the longest wait, ms.
    :param write_status: takes a service and the order with the new status. The
        status is written if the object still has this revision. Returns the
        object as it is afterwards.
    """

    list_rollouts: ListRollouts
    watch_rollouts: WatchRollouts
    write_status: WriteRollout
