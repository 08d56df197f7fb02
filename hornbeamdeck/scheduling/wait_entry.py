"""A waiting request and its places in the orders of its queue."""

import math
from collections.abc import Container, Iterable
from typing import NamedTuple, Self, TypeAlias

from hornbeamdeck.scheduling.queued_request import QueuedRequest
from hornbeamdeck.scheduling.request_rank import RETRY_RANK, Rank, rank_of
from hornbeamdeck.scheduling.standing import Standing
from hornbeamdeck.wire import Enqueue

__all__ = (
    'WaitEntry',
    'in_order_of_start',
    'order_keys',
)

_OrderKey: TypeAlias = tuple[Rank, Standing, float]
# The sort keys while its team is within its share, and while beyond it.
_OrderKeys: TypeAlias = tuple[_OrderKey, _OrderKey]


class WaitEntry(NamedTuple):
    """A waiting request.

    :param is_first: whether what its team has used does not count.
    :param start_ms: when it must start to meet its objective.
    :param objective_ms: when its response is late.
    :param keys_on_time: sort keys up to `start_ms`.
    :param keys_late: sort keys after `start_ms`.
    """

    queued: QueuedRequest
    team: str
    is_first: bool
    start_ms: float
    objective_ms: float
    keys_on_time: _OrderKeys
    keys_late: _OrderKeys

    @classmethod
    def from_queued(
        cls,
        queued: QueuedRequest,
        start_ms: float,
        objective_ms: float,
    ) -> Self:
        """Compute the sort keys: by rank, standing and start time."""
        keyed = (queued.request, queued.standing, start_ms)
        keys_on_time = order_keys(*keyed, is_late=False)
        return cls(
            queued,
            queued.request.team,
            keys_on_time[0] == keys_on_time[1],
            start_ms,
            objective_ms,
            keys_on_time,
            order_keys(*keyed, is_late=True),
        )

    def order(self, now: float, *, is_beyond: bool) -> _OrderKey:
        """Return the sort key; the lowest starts first.

        :param is_beyond: whether its team is beyond its share.
        """
        keys = self.keys_late if self.start_ms < now else self.keys_on_time
        return keys[is_beyond]


def in_order_of_start(
    entries: Iterable[WaitEntry], now: float, beyond: Container[str]
) -> list[WaitEntry]:
    """Sort entries by when they start.

    :param beyond: teams that are beyond their share.
    """
    return sorted(
        entries,
        key=lambda entry: entry.order(now, is_beyond=entry.team in beyond),
    )


def order_keys(
    request: Enqueue, standing: Standing, start_ms: float, *, is_late: bool
) -> _OrderKeys:
    """Return the sort keys of a request.

    Retries are first. A stream that goes on is first among those of its rank:
    only some of the engines may take it, and if it is refused, its first part
    is lost. So what its team has used does not count.
    """
    if request.excluded:
        key = (RETRY_RANK, Standing.RETURNING, start_ms)
        return (key, key)
    if request.resumes is not None:
        rank = rank_of(request, is_late=False)
        key = (rank, Standing.RETURNING, -math.inf)
        return (key, key)
    rank = rank_of(request, is_late=is_late)
    if standing == Standing.RETURNING:
        key = (rank, standing, start_ms)
        return (key, key)
    return (
        (rank, Standing.WITHIN_SHARE, start_ms),
        (rank, Standing.BEYOND_SHARE, start_ms),
    )
