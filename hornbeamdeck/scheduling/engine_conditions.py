"""What the engines of one service have stated of themselves.

An engine states in its responses what it wants of the instances: how many
requests, or none. A response reaches one instance, which reports it to the
owner. The owner keeps it here for each incarnation of an engine.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.rejection_limit import RejectionLimit
from hornbeamdeck.scheduling.request_rate import EngineRate, RateRules
from hornbeamdeck.wire import EngineObservation

__all__ = (
    'ConditionChange',
    'EngineCondition',
    'EngineConditions',
    'LimitChange',
)

# Engines that have left the list may be back after an outage of the store.
MAX_UNLISTED_ENGINES: Final = 256


class LimitChange(NamedTuple):
    """A changed request limit of an engine.

    :param previous_per_s: `None`: there was no limit.
    :param recent_grants: within the long window.
    """

    previous_per_s: float | None
    recent_grants: int


class ConditionChange(NamedTuple):
    """What an observation has changed.

    :param limit: `None`: the limit is the same.
    :param is_brittleness_changed: whether the number of rejections that topples
        it is another.
    :param is_leaving: whether it was not known before that the engine leaves.
    :param rest_ms: for how long the engine wants no requests from the instance,
        if that is longer than before; 0: it is not.
    """

    limit: LimitChange | None = None
    is_brittleness_changed: bool = False
    is_leaving: bool = False
    rest_ms: int = 0


class EngineCondition:
    """What one incarnation of an engine has stated.

    One that leaves never comes back: a later response without the statement,
    or an entry in the list that is older than it, does not end it. A rest is
    asked of one instance and ends with its time.
    """

    def __init__(self, rules: RateRules) -> None:
        """Start without statements."""
        self.rate = EngineRate(rules)
        self.rejections = RejectionLimit(rules.is_new_owner)
        self.is_leaving = False
        self._rest_until_ms: dict[str, float] = {}

    def is_resting(self, instance: str, now: float) -> bool:
        """Return whether the engine wants no requests from an instance."""
        return now < self._rest_until_ms.get(instance, now)

    def is_resting_for_any(self, now: float) -> bool:
        """Return whether the engine wants no requests from some instance."""
        return any(now < until_ms for until_ms in self._rest_until_ms.values())

    def open_ms(self, instances: Iterable[str]) -> float:
        """Return when the first of some instances may send requests."""
        return min(
            self._rest_until_ms.get(instance, -math.inf)
            for instance in instances
        )

    def apply(
        self, observation: EngineObservation, instance: str, now: float
    ) -> ConditionChange:
        """Apply what an instance has observed."""
        was_leaving = self.is_leaving
        self.is_leaving = was_leaving or bool(observation.is_leaving)
        limit = None
        is_brittleness_changed = False
        if not observation.is_limit_unknown:
            limit = self._set_limit(observation, now)
            is_brittleness_changed = self.rejections.set_limit(
                observation.rejection_limit_per_s, now - observation.age_ms
            )
        return ConditionChange(
            limit=limit,
            is_brittleness_changed=is_brittleness_changed,
            is_leaving=self.is_leaving and not was_leaving,
            rest_ms=self._extend_rest(instance, observation.rest_ms or 0, now),
        )

    def _extend_rest(self, instance: str, rest_ms: int, now: float) -> int:
        until_ms = now + rest_ms
        if until_ms <= self._rest_until_ms.get(instance, now):
            return 0
        self._rest_until_ms = {
            name: end_ms
            for name, end_ms in self._rest_until_ms.items()
            if now < end_ms
        }
        self._rest_until_ms[instance] = until_ms
        return rest_ms

    def _set_limit(
        self, observation: EngineObservation, now: float
    ) -> LimitChange | None:
        previous_per_s = self.rate.limit_per_s
        observed_ms = now - observation.age_ms
        if not self.rate.set_limit(observation.per_s, observed_ms):
            return None
        return LimitChange(previous_per_s, self.rate.recent_grants(now))


def _limits_of(
    service: str, engine: str, born_ms: int, condition: EngineCondition
) -> EngineObservation:
    return EngineObservation(
        cell=service,
        upstream=engine,
        born_ms=born_ms,
        age_ms=0,
        per_s=condition.rate.limit_per_s,
        rejection_limit_per_s=condition.rejections.per_s,
    )


class EngineConditions:
    """The conditions of the engines of one service, by incarnation.

    They outlive the engines' entries in the list, which may be missing for
    seconds after an outage of the store.
    """

    def __init__(self, rules: RateRules) -> None:
        """Start without engines."""
        self._rules = rules
        self._conditions: dict[tuple[str, int], EngineCondition] = {}

    def condition_of(self, engine: Engine) -> EngineCondition:
        """Return the condition of an engine's current incarnation."""
        key = (engine.name, engine.born_ms)
        # Inserted again, so that the engines that came last are kept longest.
        condition = self._conditions.pop(key, None)
        self._conditions[key] = condition or EngineCondition(self._rules)
        return self._conditions[key]

    def apply(
        self, observation: EngineObservation, instance: str, now: float
    ) -> ConditionChange | None:
        """Apply what an instance has observed.

        :returns: what it has changed; `None`: nothing.
        """
        key = (observation.upstream, observation.born_ms)
        condition = self._conditions.get(key)
        if condition is None:
            return None
        change = condition.apply(observation, instance, now)
        return None if change == ConditionChange() else change

    def limits(self, service: str, now: float) -> list[EngineObservation]:
        """Return the limits that engines have stated, for other instances."""
        limits = []
        for (engine, born_ms), condition in self._conditions.items():
            stated_ms = condition.rejections.stated_ms
            if math.isfinite(stated_ms):
                limit = _limits_of(service, engine, born_ms, condition)
                limit.age_ms = int(now - stated_ms)
                limits.append(limit)
        return limits

    def remove_unlisted(self, listed: Iterable[Engine]) -> None:
        """Drop all but the last of the engines that have left the list."""
        keys = {(engine.name, engine.born_ms) for engine in listed}
        unlisted = [key for key in self._conditions if key not in keys]
        for key in unlisted[:-MAX_UNLISTED_ENGINES]:
            self._conditions.pop(key)
