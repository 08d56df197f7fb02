"""Request limits that engines stated in responses to this process.

An owner stores the limits only in memory. Each is reported to it by the process
that received the response, and reported again to its successor.
"""

from typing import Final, NamedTuple, TypeVar

import structlog
from result import Err

from hornbeamdeck.clock import now_ms
from hornbeamdeck.process.membership import Membership
from hornbeamdeck.process.owner_link import OwnerLink
from hornbeamdeck.request.gateway_request import StatedLimit
from hornbeamdeck.wire import Grant, RequestLimit

__all__ = ('ObservedLimits',)

_LOGGER = structlog.get_logger(prefix='engines')

# Older observations are not reported to a new owner. If the limit still holds,
# the engine's next response states it.
MAX_AGE_MS: Final = 30_000
MAX_ENGINES: Final = 1000

_Entry = TypeVar('_Entry')


class _Observation(NamedTuple):
    """What the last response of an engine stated.

    :param per_s: `None`: no limit.
    :param owner: the owner that it was reported to.
    """

    cell: str
    born_ms: int
    per_s: float | None
    observed_ms: float
    owner: str


class ObservedLimits:
    """The last limit that each engine stated to this process.

    Only engines that have ever stated one are recorded.
    """

    def __init__(self, membership: Membership, link: OwnerLink) -> None:
        """Start without observations."""
        self._membership = membership
        self._link = link
        self._observations: dict[str, _Observation] = {}
        self._unreadable: dict[str, str] = {}

    def current(self) -> dict[str, float]:
        """Return the current limits in requests per second, by engine."""
        return {
            engine: observation.per_s
            for engine, observation in self._observations.items()
            if observation.per_s is not None
        }

    def owners(self) -> set[str]:
        """Return the owners that the observations were reported to."""
        return {each.owner for each in self._observations.values()}

    async def async_record(self, grant: Grant, stated: StatedLimit) -> None:
        """Record what a response stated; report what the owner doesn't know.

        :param grant: the grant of the request.
        """
        engine = grant.upstream
        if isinstance(stated, Err):
            self._log_unreadable(engine, stated.err_value)
            return
        per_s = stated.ok_value
        last = self._observations.get(engine)
        previous_per_s = last.per_s if last else None
        if {per_s, previous_per_s, grant.limit_per_s} == {None}:
            return
        if per_s != previous_per_s:
            _LOGGER.info(
                'request limit stated',
                engine=engine,
                per_s=per_s,
                previous_per_s=previous_per_s,
            )
        observation = _Observation(
            cell=grant.cell,
            born_ms=grant.born_ms or 0,
            per_s=per_s,
            observed_ms=now_ms(),
            owner=self._membership.owner_of(grant.cell),
        )
        _insert_last(self._observations, engine, observation)
        if per_s != grant.limit_per_s:
            await self._async_report(engine, observation)

    async def async_move_to_successor(self, owner: str) -> None:
        """Report what an owner knew to its successors."""
        known = [
            (engine, each)
            for engine, each in self._observations.items()
            if each.owner == owner
        ]
        for engine, observation in known:
            successor = self._membership.owner_of(observation.cell)
            is_replaced = self._observations.get(engine) is not observation
            if successor == owner or is_replaced:
                continue
            moved = observation._replace(owner=successor)
            self._observations[engine] = moved
            if now_ms() - moved.observed_ms < MAX_AGE_MS:
                await self._async_report(engine, moved)

    async def _async_report(
        self, engine: str, observation: _Observation
    ) -> None:
        message = RequestLimit(
            cell=observation.cell,
            upstream=engine,
            born_ms=observation.born_ms,
            age_ms=int(now_ms() - observation.observed_ms),
            per_s=observation.per_s,
        )
        await self._link.async_send(observation.owner, message)

    def _log_unreadable(self, engine: str, text: str) -> None:
        if self._unreadable.get(engine) == text:
            return
        _insert_last(self._unreadable, engine, text)
        _LOGGER.warning('request limit not readable', engine=engine, text=text)


def _insert_last(
    by_engine: dict[str, _Entry], engine: str, entry: _Entry
) -> None:
    by_engine.pop(engine, None)
    by_engine[engine] = entry
    if len(by_engine) > MAX_ENGINES:
        by_engine.pop(next(iter(by_engine)))
