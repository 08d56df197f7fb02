"""What engines stated of themselves in responses to this process.

The owner grants by what engines state, and this process alone has received the
response. So it reports each statement to the owner and again to its successor,
and sends nothing against a statement that the owner does not know yet.
"""

import math
from collections.abc import Mapping
from typing import Final, NamedTuple, TypeAlias

import structlog
from result import Ok

from hornbeamdeck.clock import now_ms
from hornbeamdeck.engines.unread_statements import UnreadStatements
from hornbeamdeck.membership.membership import Membership
from hornbeamdeck.ownership.owner_link import OwnerLink
from hornbeamdeck.request.gateway_request import (
    EngineStatement,
    ShownLimit,
    WithholdReason,
)
from hornbeamdeck.wire import EngineObservation, Grant

__all__ = ('EngineStatements',)

_LOGGER = structlog.get_logger(prefix='engines')

# Older limits are not reported to a new owner. If the limit still holds, the
# engine's next response states it.
MAX_LIMIT_AGE_MS: Final = 30_000
MAX_ENGINES: Final = 1000

_Fields: TypeAlias = dict[str, object]


class _Observation(NamedTuple):
    """What one incarnation of an engine stated.

    :param owner: the owner that it was reported to.
    :param per_s: limit in requests per second; `None`: no limit.
    :param rejections_per_s: rejections beyond which it falls over; `None`: it
        does not.
    :param limit_observed_ms: when a response last showed the limits.
    :param rest_until_ms: until when it wants no requests from this process.
    """

    cell: str
    born_ms: int
    owner: str
    per_s: float | None = None
    rejections_per_s: float | None = None
    limit_observed_ms: float = -math.inf
    is_leaving: bool = False
    rest_until_ms: float = -math.inf

    def is_current(self, now: float) -> bool:
        """Return whether a new owner needs to know any of it."""
        return (
            self.is_leaving
            or now < self.rest_until_ms
            or self.is_limit_recent(now)
        )

    def is_limit_recent(self, now: float) -> bool:
        """Return whether the limits are recent enough to be reported."""
        return now - self.limit_observed_ms < MAX_LIMIT_AGE_MS

    def is_limit_known(self, grant: Grant) -> bool:
        """Return whether the owner knew the limits when it granted."""
        known = (grant.limit_per_s, grant.rejection_limit_per_s)
        return known == (self.per_s, self.rejections_per_s)


class EngineStatements:
    """The last statements of each engine that has made any."""

    def __init__(self, membership: Membership, link: OwnerLink) -> None:
        """Start without observations."""
        self._membership = membership
        self._link = link
        self._observations: dict[str, _Observation] = {}
        self._unread = UnreadStatements()

    @property
    def unread_headers(self) -> Mapping[str, int]:
        """Number of response headers that no code reads, by name."""
        return self._unread.headers

    def limits(self) -> dict[str, float]:
        """Return the current limits in requests per second, by engine."""
        return {
            engine: observation.per_s
            for engine, observation in self._observations.items()
            if observation.per_s is not None
        }

    def rejection_limits(self) -> dict[str, float]:
        """Return the current limits in rejections per second, by engine."""
        return {
            engine: observation.rejections_per_s
            for engine, observation in self._observations.items()
            if observation.rejections_per_s is not None
        }

    def leaving(self) -> list[str]:
        """Return the engines that have stated that they leave."""
        return [
            engine
            for engine, observation in self._observations.items()
            if observation.is_leaving
        ]

    def rests_ms(self) -> dict[str, float]:
        """Return how long each engine still wants no requests from here."""
        now = now_ms()
        return {
            engine: observation.rest_until_ms - now
            for engine, observation in self._observations.items()
            if observation.rest_until_ms > now
        }

    def owners(self) -> set[str]:
        """Return the owners that the observations were reported to."""
        return {each.owner for each in self._observations.values()}

    async def async_record(
        self, grant: Grant, statement: EngineStatement
    ) -> None:
        """Record what a response stated; report what the owner doesn't know.

        :param grant: the grant of the request.
        """
        engine = grant.upstream
        self._unread.record(engine, statement)
        last = self._last_observation(grant)
        observation = self._observe(grant, last, statement)
        if observation == last:
            return
        for event, fields in _changes(grant, last, observation).items():
            _LOGGER.info(event, engine=engine, **fields)
        self._observations.pop(engine, None)
        self._observations[engine] = observation
        if len(self._observations) > MAX_ENGINES:
            self._observations.pop(next(iter(self._observations)))
        is_limit_shown = observation.limit_observed_ms > last.limit_observed_ms
        if (
            (is_limit_shown and not observation.is_limit_known(grant))
            or observation.is_leaving > last.is_leaving
            or observation.rest_until_ms > last.rest_until_ms
            or observation.owner != last.owner
        ):
            await self._async_report(engine, observation)

    def reason_to_withhold(self, grant: Grant) -> WithholdReason | None:
        """Return why a granted request must not be sent; `None`: it may be."""
        last = self._observations.get(grant.upstream)
        if last is None or last.born_ms < (grant.born_ms or 0):
            return None
        if last.is_leaving:
            return WithholdReason.LEAVING
        if now_ms() < last.rest_until_ms:
            return WithholdReason.RESTING
        return None

    async def async_remind_owner(self, grant: Grant) -> None:
        """Report again what an owner does not know that has granted a request.

        The report may have been lost with a connection.
        """
        observation = self._observations[grant.upstream]
        owner = self._membership.owner_of(grant.cell)
        observation = observation._replace(owner=owner)
        self._observations[grant.upstream] = observation
        await self._async_report(grant.upstream, observation)

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
            if moved.is_current(now_ms()):
                await self._async_report(engine, moved)

    def _last_observation(self, grant: Grant) -> _Observation:
        """Return what the engine has stated so far, if it is the same one."""
        born_ms = grant.born_ms or 0
        last = self._observations.get(grant.upstream)
        if last is not None and last.born_ms >= born_ms:
            return last
        owner = self._membership.owner_of(grant.cell)
        return _Observation(grant.cell, born_ms, owner)

    def _observe(
        self, grant: Grant, last: _Observation, statement: EngineStatement
    ) -> _Observation:
        """Return what is known of the engine after one more response."""
        now = now_ms()
        observation = last
        stated = last._replace(
            per_s=_newest(statement.request_limit, last.per_s),
            rejections_per_s=_newest(
                statement.rejection_limit, last.rejections_per_s
            ),
        )
        is_shown = isinstance(statement.request_limit, Ok) or isinstance(
            statement.rejection_limit, Ok
        )
        if is_shown and _has_limit(stated, last, grant):
            observation = stated._replace(limit_observed_ms=now)
        # Engines that stay do not send the header, so one that can't be read
        # counts as leaving.
        if statement.leaving.unwrap_or(True):
            observation = observation._replace(is_leaving=True)
        rest_until_ms = now + statement.rest_ms.unwrap_or(0.0)
        if rest_until_ms > max(now, last.rest_until_ms):
            observation = observation._replace(rest_until_ms=rest_until_ms)
        if observation == last:
            return last
        owner = self._membership.owner_of(grant.cell)
        return observation._replace(owner=owner)

    async def _async_report(
        self, engine: str, observation: _Observation
    ) -> None:
        now = now_ms()
        message = EngineObservation(
            cell=observation.cell,
            upstream=engine,
            born_ms=observation.born_ms,
            age_ms=0,
            is_leaving=observation.is_leaving,
            rest_ms=math.ceil(max(observation.rest_until_ms - now, 0)),
        )
        if observation.is_limit_recent(now):
            message.age_ms = int(now - observation.limit_observed_ms)
            message.per_s = observation.per_s
            message.rejection_limit_per_s = observation.rejections_per_s
        else:
            message.is_limit_unknown = True
        await self._link.async_send(observation.owner, message)


def _newest(shown: ShownLimit, last: float | None) -> float | None:
    """Return a limit that a response shows, or else the last one."""
    return shown.ok_value if isinstance(shown, Ok) else last


def _has_limit(stated: _Observation, last: _Observation, grant: Grant) -> bool:
    """Return whether an engine has a limit, had one, or was granted by one."""
    limits = {
        stated.per_s,
        stated.rejections_per_s,
        last.per_s,
        last.rejections_per_s,
        grant.limit_per_s,
        grant.rejection_limit_per_s,
    }
    return limits != {None}


def _changes(
    grant: Grant, last: _Observation, observation: _Observation
) -> dict[str, _Fields]:
    """Describe what is new: the fields of log lines, by event."""
    now = now_ms()
    changes: dict[str, _Fields] = {}
    if observation.per_s != last.per_s:
        changes['request limit stated'] = {
            'per_s': observation.per_s,
            'previous_per_s': last.per_s,
        }
    if observation.rejections_per_s != last.rejections_per_s:
        changes['rejection limit stated'] = {
            'per_s': observation.rejections_per_s,
            'previous_per_s': last.rejections_per_s,
        }
    if observation.is_leaving and not last.is_leaving:
        changes['engine states that it leaves'] = {
            'request_id': grant.request_id,
        }
    if last.rest_until_ms <= now < observation.rest_until_ms:
        changes['engine asks for rest'] = {
            'request_id': grant.request_id,
            'rest_ms': int(observation.rest_until_ms - now),
        }
    return changes
