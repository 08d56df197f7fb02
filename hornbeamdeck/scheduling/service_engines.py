"""The engines of one service, as the owner of its cell knows them."""

from collections.abc import Collection, Iterable

from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.engine_conditions import EngineConditions
from hornbeamdeck.scheduling.engine_load import EngineLoad, ServiceEstimates
from hornbeamdeck.scheduling.request_rate import RateRules
from hornbeamdeck.scheduling.version_routing import VersionRouting
from hornbeamdeck.version.gateway import EngineProperties

__all__ = ('ServiceEngines',)


class ServiceEngines:
    """Loads and conditions of all engines, and which versions may be used."""

    def __init__(self, rate_rules: RateRules) -> None:
        """Start without engines; `update` adds them."""
        self.loads: dict[str, EngineLoad] = {}
        self.versions = VersionRouting()
        self.conditions = EngineConditions(rate_rules)
        self._estimates = ServiceEstimates.initial()

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

    def usable(self, now: float) -> Collection[EngineLoad]:
        """Return the engines of the versions that may get requests now."""
        return self.versions.usable(self.loads.values(), now)

    def find_running(self, request_id: str) -> EngineLoad | None:
        """Find the engine that runs a request."""
        for load in self.loads.values():
            if request_id in load.runs:
                return load
        return None
