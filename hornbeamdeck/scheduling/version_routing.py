"""Which versions of a service's engines its requests may use.

Load pattern: engines of a version that was never seen before register, and the
operator's order that names it is read a moment later or, while the store does
not answer, not at all. Until it is known that no order names the version, it
gets no requests.
"""

from collections.abc import Collection, Iterable
from typing import Final

from hornbeamdeck.scheduling.engine_load import EngineLoad
from hornbeamdeck.scheduling.engine_pace import expected_run_ms, run_pace
from hornbeamdeck.scheduling.engine_run import EngineRun
from hornbeamdeck.scheduling.rollout import RolloutPhase, ServiceRollout
from hornbeamdeck.scheduling.version_comparison import Answer
from hornbeamdeck.wire import Enqueue, Release, RunEnd

__all__ = ('VersionRouting', 'of_version')

_FAILURES: Final = frozenset(
    (RunEnd.FAILED, RunEnd.SILENT, RunEnd.ERRORED, RunEnd.REJECTED),
)


def of_version(
    loads: Collection[EngineLoad], version: str | None
) -> list[EngineLoad]:
    """Return the engines of a version, all of them if it is `None`."""
    return [
        load
        for load in loads
        if version is None or load.engine.version == version
    ]


class VersionRouting:
    """Routes the requests of one service between versions of its engines."""

    def __init__(self) -> None:
        """Start without a roll-out; all versions may be used."""
        self.rollout: ServiceRollout | None = None
        self._held: frozenset[str] = frozenset()

    def hold(self, versions: Iterable[str]) -> None:
        """Send no requests to these versions while there are others."""
        self._held = frozenset(versions)

    def update_engines(self, loads: Collection[EngineLoad]) -> None:
        """Apply a new list of the service's engines."""
        if self.rollout is not None:
            self.rollout.update_engines(loads)

    def usable(
        self, loads: Collection[EngineLoad], now: float
    ) -> Collection[EngineLoad]:
        """Return the engines that may get requests now."""
        if self._held:
            known = [
                load for load in loads if load.engine.version not in self._held
            ]
            loads = known or loads
        rollout = self.rollout
        if rollout is None:
            return loads
        return [load for load in loads if rollout.may_use(load, now)]

    def is_given_up(self, load: EngineLoad, now: float) -> bool:
        """Return whether an engine gets no request for its version any more."""
        rollout = self.rollout
        return (
            rollout is not None
            and rollout.phase.is_final
            and not rollout.may_use(load, now)
        )

    def groups(
        self, request: Enqueue, free: list[EngineLoad], now: float
    ) -> list[list[EngineLoad]]:
        """Sort the engines for a request by preference.

        A stream goes on only at the version that has begun it. A request that
        has failed before is sent to the old version first.

        :param free: engines with a free slot that may be used.
        """
        free = of_version(free, request.version)
        rollout = self.rollout
        if rollout is None:
            return [free]

        def _estimate_run_ms(load: EngineLoad) -> float:
            return expected_run_ms(
                load, request.prompt_tokens, request.output_tokens, now
            )

        groups = rollout.groups(free, _estimate_run_ms, now)
        if request.excluded and rollout.phase == RolloutPhase.CANARY:
            groups.reverse()
        return groups

    def record_grant(self, load: EngineLoad) -> None:
        """Count a request that was granted an engine."""
        if self.rollout is not None:
            self.rollout.record_grant(load)

    def record_run_end(
        self, load: EngineLoad, run: EngineRun, message: Release, now: float
    ) -> None:
        """Compare how a run ended with the runs of the other version."""
        end = RunEnd(message.end)
        if self.rollout is None or end not in _FAILURES | {RunEnd.ANSWERED}:
            return
        answer = Answer(
            engine=load.engine.name,
            route=run.route,
            is_new=self.rollout.is_new(load),
            is_failure=end in _FAILURES,
            pace=run_pace(load, run, message.output_tokens or 0, now),
        )
        self.rollout.record_answer(answer, now)
