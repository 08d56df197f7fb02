"""The engines of one service, as the owner of its cell knows them."""

import math
from collections.abc import Callable, Collection, Iterable

from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.engine_conditions import (
    ConditionChange,
    EngineConditions,
)
from hornbeamdeck.scheduling.engine_load import EngineLoad, ServiceEstimates
from hornbeamdeck.scheduling.engine_memory import could_hold, has_room
from hornbeamdeck.scheduling.forecast import Forecast
from hornbeamdeck.scheduling.moved_runs import MovedRuns
from hornbeamdeck.scheduling.queued_request import QueuedRequest
from hornbeamdeck.scheduling.request_rate import RateRules
from hornbeamdeck.scheduling.service_load import (
    count_held_by_limit,
    fastest_first_token_ms,
    forecast_slots,
)
from hornbeamdeck.scheduling.stream_origins import OriginBook
from hornbeamdeck.scheduling.version_routing import VersionRouting, of_version
from hornbeamdeck.scheduling.wait_queue import WaitQueue
from hornbeamdeck.version.gateway import EngineProperties
from hornbeamdeck.wire import EngineObservation, Enqueue

__all__ = ('ServiceEngines',)


class ServiceEngines:
    """Loads and conditions of all engines, and which versions may be used."""

    def __init__(self, rate_rules: RateRules, origins: OriginBook) -> None:
        """Start without engines; `update` adds them.

        :param origins: the service's, without streams yet.
        """
        self.loads: dict[str, EngineLoad] = {}
        self.versions = VersionRouting()
        self.moved_runs = MovedRuns()
        self.conditions = EngineConditions(rate_rules)
        self.origins = origins
        self._estimates = ServiceEstimates.initial()
        # Until when any engine rests for any instance.
        self._rest_until_ms = -math.inf

    def update(
        self,
        engines: Iterable[Engine],
        properties: EngineProperties,
        slowness: dict[str, float],
    ) -> None:
        """Apply a new list of engines.

        An engine that restarted under the same name has lost the runs of its
        previous incarnation, so they are removed here too.

        :param slowness: speed factors learned by other owners, used for engines
            that are new here.
        """
        engines_by_name = {engine.name: engine for engine in engines}
        for removed in self.loads.keys() - engines_by_name.keys():
            self.loads.pop(removed)
        for name, engine in engines_by_name.items():
            load = self.loads.get(name)
            if load is None or load.engine.born_ms != engine.born_ms:
                condition = self.conditions.condition_of(engine)
                load = EngineLoad(
                    engine, properties, self._estimates, condition
                )
                load.slowness = slowness.get(name, 1.0)
                self.loads[name] = load
            load.update(engine, properties)
        self.conditions.remove_unlisted(engines_by_name.values())
        self.versions.update_engines(self.loads.values())

    def apply_observation(
        self, observation: EngineObservation, instance: str, now: float
    ) -> ConditionChange | None:
        """Apply what an instance has seen an engine state of itself.

        :returns: what it has changed; `None`: nothing.
        """
        change = self.conditions.apply(observation, instance, now)
        if change is None:
            return None
        if change.is_leaving:
            for load in self.loads.values():
                load.update(load.engine, load.properties)
            self.versions.update_engines(self.loads.values())
        if change.rest_ms:
            until_ms = now + change.rest_ms
            self._rest_until_ms = max(self._rest_until_ms, until_ms)
        return change

    def usable(
        self, now: float, version: str | None = None
    ) -> Collection[EngineLoad]:
        """Return the engines of the versions that may get requests now.

        :param version: the only one that a request may use; `None`: any.
        """
        usable = self.versions.usable(self.loads.values(), now)
        return usable if version is None else of_version(usable, version)

    def of_recorded_versions(
        self, free: list[EngineLoad], request: Enqueue, now: float
    ) -> list[EngineLoad]:
        """Leave out engines of versions that the store does not hold yet.

        A request may use them if no other engine is left for it. One that is
        bound to a version begins no stream.
        """
        unrecorded = self.origins.history.unrecorded(
            now, is_resumable=request.resumable_ms is not None
        )
        if not unrecorded or request.version is not None:
            return free
        excluded = request.excluded or ()
        has_recorded = any(
            load.engine.version not in unrecorded
            and load.engine.name not in excluded
            and not load.is_leaving
            for load in self.usable(now)
        )
        return [
            load
            for load in free
            if not has_recorded or load.engine.version not in unrecorded
        ]

    def find_running(self, request_id: str) -> EngineLoad | None:
        """Find the engine that runs a request."""
        for load in self.loads.values():
            if request_id in load.runs:
                return load
        return None

    def open_to(
        self, instance: str, loads: Collection[EngineLoad], now: float
    ) -> Collection[EngineLoad]:
        """Return those of some engines that do not rest for an instance."""
        if now >= self._rest_until_ms:
            return loads
        return [
            load
            for load in loads
            if not load.condition.is_resting(instance, now)
        ]

    def with_room(
        self, loads: Collection[EngineLoad], request: Enqueue
    ) -> list[EngineLoad]:
        """Return those of some engines whose memory holds a request."""
        return [load for load in loads if has_room(load, request)]

    def has_engine_left(self, queued: QueuedRequest, now: float) -> bool:
        """Return whether an untried engine may get a request in its time."""
        excluded = queued.request.excluded or ()
        instances = (queued.instance,)
        return any(
            load.engine.name not in excluded
            and not load.is_leaving
            and not self.versions.is_given_up(load, now)
            and load.condition.open_ms(instances) < queued.deadline_ms
            for load in of_version(self.loads.values(), queued.request.version)
            if could_hold(load, queued.request)
        )

    def open_again_ms(
        self,
        instance: str,
        now: float,
        instances: Callable[[], Collection[str]],
    ) -> float | None:
        """Return when an engine takes requests of some instance again.

        :param instances: lists all that a caller may come back to.
        :returns: `None` if not all engines rest for the given instance.
        """
        staying = [
            load.condition
            for load in self.loads.values()
            if not load.is_leaving
        ]
        if not staying or not all(
            condition.is_resting(instance, now) for condition in staying
        ):
            return None
        anyone = instances() or (instance,)
        return min(condition.open_ms(anyone) for condition in staying)

    def forecast(
        self,
        wait_queue: WaitQueue,
        now: float,
        queued: QueuedRequest | None = None,
    ) -> Forecast:
        """Forecast when slots become free for the requests of a queue.

        :param queued: the request that asks; `None`: for all of them.
        """
        instance = queued.instance if queued else None
        version = queued.request.version if queued else None
        if now >= self._rest_until_ms:
            instance = None
        staying = [
            load for load in self.usable(now, version) if not load.is_leaving
        ]
        return forecast_slots(
            staying, instance, len(wait_queue), wait_queue.interval_ms, now
        )

    def describe(self, queued: QueuedRequest, now: float) -> dict[str, object]:
        """Return what a decision on a request was based on, as log fields."""
        loads = self.loads.values()
        return {
            'versions': sorted(self.origins.history.versions(now)),
            'known_streams': len(self.origins),
            'engines': len(loads),
            'places': sum(load.has_free_slot(now) for load in loads),
            'held_by_limit': count_held_by_limit(loads, now),
            'resting': sum(
                load.condition.is_resting(queued.instance, now)
                for load in loads
            ),
            'fastest_ms': int(
                fastest_first_token_ms(loads, queued.request.prompt_tokens, now)
            ),
        }
