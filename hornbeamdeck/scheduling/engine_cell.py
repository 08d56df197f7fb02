"""Wait queue of one service and placement of its requests on engines.

Callers pass in the time. This module makes decisions only and does no input or
output.
"""

from collections.abc import Iterable, Iterator
from typing import Final

from hornbeamdeck.scheduling.admission_control import (
    AdmissionControl,
    SharedState,
)
from hornbeamdeck.scheduling.cell import Granted, Refused
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.engine_choice import (
    HELD_FOR_BETTER_SLOT,
    Choice,
    choose_engine,
)
from hornbeamdeck.scheduling.engine_conditions import ConditionChange
from hornbeamdeck.scheduling.engine_crash_tracker import (
    EngineCrashTracker,
    TrackedRun,
)
from hornbeamdeck.scheduling.engine_load import (
    EngineLoad,
    record_reach,
    start_granted,
)
from hornbeamdeck.scheduling.placement_scan import (
    PlacementScan,
    PlacementTracker,
)
from hornbeamdeck.scheduling.queued_request import (
    Deliver,
    QueuedRequest,
    instance_of,
)
from hornbeamdeck.scheduling.retry_budget import RetryBudget
from hornbeamdeck.scheduling.service_engines import ServiceEngines
from hornbeamdeck.scheduling.service_load import (
    fastest_first_token_ms,
)
from hornbeamdeck.scheduling.team_standings import TeamStandings
from hornbeamdeck.scheduling.wait_queue import WaitQueue
from hornbeamdeck.version.gateway import EngineProperties
from hornbeamdeck.wire import (
    EngineObservation,
    Enqueue,
    Progress,
    RefusalReason,
    Refuse,
    Register,
    Release,
    RunEnd,
    Suspect,
    UpstreamEnd,
)

__all__ = ('EngineCell', 'record_engine_end')

# Logged reason for holding a request back while engines have free slots.
HELD_BY_LIMIT: Final = "the team's limit"
HELD_BY_RETRIES: Final = 'the retry budget'
HELD_BY_REST: Final = 'all with free slots rest for its instance'
HELD_BY_MEMORY: Final = 'no memory for it where slots are free'
HELD_BY_VERSION: Final = 'no slot of a version that it may use'
HELD_BY_UNKNOWN_STREAM: Final = 'the version of its stream is not known yet'
# Minimum time between two checks for expired requests. It is a little shorter
# than the scheduler's check interval (25 ms), so that each of the scheduler's
# checks runs this one.
MIN_EXPIRY_CHECK_INTERVAL_MS: Final = 20.0


class EngineCell:
    """Queues the requests of one service and places them on its engines."""

    def __init__(self, shared: SharedState, retry_budget: RetryBudget) -> None:
        """Start without engines; `update_engines` adds them."""
        self._shared = shared
        self.retry_budget = retry_budget
        self._engines = ServiceEngines(shared.rate_rules, shared.make_origins())
        self.loads = self._engines.loads
        self.versions = self._engines.versions
        self.conditions = self._engines.conditions
        self.origins = self._engines.origins
        self.crash_tracker = EngineCrashTracker()
        self._wait_queue = WaitQueue()
        self.learning = self._wait_queue.learning
        self.standings = TeamStandings(shared.teams, self._wait_queue)
        self._hold_reasons: dict[str, str] = {}
        self._last_expiry_check_ms = float('-inf')
        self._has_fewer_engines = False
        self._placements = PlacementTracker()
        self._admission = AdmissionControl(
            shared, retry_budget, self._wait_queue
        )

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._wait_queue)

    def update_engines(
        self,
        engines: Iterable[Engine],
        properties: EngineProperties,
        slowness: dict[str, float],
    ) -> None:
        """Apply a new list of engines.

        :param slowness: speed factors learned by other owners, used for engines
            that are new here.
        """
        self._placements.request_full_scan()
        self.standings.update_weights()
        self._engines.update(engines, properties, slowness)
        self._has_fewer_engines = True

    def apply_observation(
        self, observation: EngineObservation, sender: str, now: float
    ) -> ConditionChange | None:
        """Apply what an instance has seen an engine state of itself.

        :param sender: the connection that the observation came by.
        :returns: what it has changed; `None`: nothing.
        """
        change = self._engines.apply_observation(
            observation, instance_of(sender), now
        )
        if change is not None and (change.is_leaving or change.rest_ms):
            self._has_fewer_engines = True
        return change

    def enqueue(
        self,
        request: Enqueue,
        *,
        sender: str,
        deliver: Deliver,
        now: float,
    ) -> Refused | None:
        """Queue a request, or refuse it if it can't be served in time."""
        self.withdraw(request.request_id)
        if not request.excluded:
            self.crash_tracker.parts.record_request(request.shared_parts or ())
        queued = QueuedRequest(
            request=request,
            sender=sender,
            deliver=deliver,
            deadline_ms=now + (request.patience_ms or request.deadline_ms),
            service_ms=0,
            enqueued_ms=now,
        )
        if not self.origins.bind(request, now, asked_ms=now):
            learnable_until_ms = self.origins.learnable_until_ms(request, now)
            if learnable_until_ms <= now:
                return self._refuse(queued, RefusalReason.UNKNOWN_STREAM, now)
            queued = queued._replace(learnable_until_ms=learnable_until_ms)
        usable = self._engines.usable(now, request.version)
        opened = self._engines.open_to(queued.instance, usable, now)
        fastest_ms = fastest_first_token_ms(
            opened or usable, request.prompt_tokens, now
        )
        reason = self._reason_to_refuse(queued, fastest_ms, now)
        if reason is not None:
            return self._refuse(queued, reason, now)
        self._wait_queue.push(queued, now, fastest_ms)
        self._placements.record_arrival(request)
        return None

    def shed(self) -> Iterator[Refused]:
        """Return no refusals: requests were admitted by their expected wait."""
        return iter(())

    def refuse_expired(self, now: float) -> Iterator[Refused]:
        """Refuse waiting requests that can't be served in time any more.

        Called with each message, but rate-limited: checking all waiting and
        running requests each time would take most of a core with a few dozen
        engines.
        """
        if (
            not len(self._wait_queue)
            or now - self._last_expiry_check_ms < MIN_EXPIRY_CHECK_INTERVAL_MS
        ):
            return
        self._last_expiry_check_ms = now
        for learning in self._wait_queue.learning():
            if _bind(self, learning, now):
                # There may be no engine of its version.
                self._has_fewer_engines = True
        if self._has_fewer_engines or self.crash_tracker.has_new_verdict:
            yield from self._refuse_hopeless(now)
        forecast = self._engines.forecast(self._wait_queue, now)
        for queued in self._wait_queue.expired(now, forecast):
            self._admission.remove_waiting(queued.request)
            reason = RefusalReason.DEADLINE
            if queued.is_unbound:
                reason = RefusalReason.UNKNOWN_STREAM
            yield self._refuse(queued, reason, now)

    def place_waiting(self, now: float) -> Iterator[Granted]:
        """Place waiting requests until no engine has a free slot for any.

        Called with each message, so the scan is incremental: requests that
        could not be placed before are tried again only on engines that have
        changed since, and periodically on all engines.
        """
        for request_id in self._engines.moved_runs.pop_expired(now):
            load = self._engines.find_running(request_id)
            if load is not None:
                load.end(request_id, RunEnd.CANCELLED, now)
                self._placements.record_engine_change(load.engine.name)
        scan = self._placements.start_scan(
            self._engines.usable(now),
            len(self._wait_queue),
            now,
        )
        if not scan.free:
            return
        blocked: dict[str, int] = {}
        for queued in self._wait_queue.in_order(now):
            if not scan.free:
                return
            granted = self._try_place(queued, scan, blocked, now)
            if granted is not None:
                scan.remove_if_full(self.loads[granted.upstream], now)
                yield granted

    def withdraw(self, request_id: str) -> None:
        """Remove a waiting request whose caller has disconnected."""
        queued = self._wait_queue.remove(request_id)
        self._hold_reasons.pop(request_id, None)
        if queued is not None:
            self._admission.remove_waiting(queued.request)

    def register(self, run: Register, sender: str) -> None:
        """Account for a run that another owner granted."""
        self.withdraw(run.request_id)
        self._engines.moved_runs.drop(run.request_id)
        load = self.loads.get(run.upstream)
        if load is not None:
            load.add(run, sender)

    def progress(self, message: Progress, now: float) -> None:
        """Record a run's first token, or which incarnation made it.

        The latter may be known a little later.
        """
        load = self._engines.find_running(message.request_id)
        self.origins.record_first_event(
            message.request_id,
            load.engine if load else None,
            now,
            is_certain=message.is_certain,
            message=message,
        )
        if load is not None:
            record_reach(
                load, message.request_id, message.relay, RunEnd.ANSWERED, now
            )
            load.first_token(message.request_id, message.first_token_ms, now)
            self._placements.record_engine_change(load.engine.name)

    def release(self, message: Release, now: float) -> list[Suspect]:
        """Record the end of a run.

        :returns: the requests that are now suspected of crashing the engine.
        """
        load = self._engines.find_running(message.request_id)
        if load is None:
            return []
        if message.is_moved:
            self._engines.moved_runs.hold(message.request_id, now)
            return []
        self._engines.moved_runs.drop(message.request_id)
        end = RunEnd(message.end)
        record_reach(load, message.request_id, message.relay, end, now)
        run = load.end(message.request_id, end, now, message.first_byte_ms or 0)
        if run is None:
            return []
        self.standings.correct_end(run, now)
        if message.is_unsent:
            self._admission.give_back(run, now)
        self._placements.record_engine_change(load.engine.name)
        self.versions.record_run_end(load, run, message, now)
        if end == RunEnd.ANSWERED:
            load.learn_gap(run, message.longest_gap_ms or 0)
        return self.crash_tracker.record_run_end(
            load.engine, run.tracked, end, now
        )

    def remove_sender(self, sender: str) -> None:
        """Remove all requests and runs of a closed connection."""
        for request_id in self._wait_queue.ids_from_sender(sender):
            self.withdraw(request_id)
        for load in self.loads.values():
            load.remove_sender(sender)
        self._placements.request_full_scan()

    def _refuse_hopeless(self, now: float) -> Iterator[Refused]:
        """Refuse waiting requests that no engine may get any more."""
        self._has_fewer_engines = False
        self.crash_tracker.has_new_verdict = False
        if not self.loads:
            # Entries that expired in an outage may be back in a moment.
            return
        waiting = tuple(self._wait_queue.in_order(now))
        for queued in waiting:
            reason = _reason_to_give_up(
                self._engines, self.crash_tracker, queued, now
            )
            if reason is not None:
                self._wait_queue.remove(queued.request.request_id)
                self._admission.remove_waiting(queued.request)
                yield self._refuse(queued, reason, now)

    def _reason_to_refuse(
        self,
        queued: QueuedRequest,
        fastest_ms: float,
        now: float,
    ) -> RefusalReason | None:
        request = queued.request
        reason = _reason_to_give_up(
            self._engines, self.crash_tracker, queued, now
        )
        if reason is not None:
            return reason
        forecast = self._engines.forecast(self._wait_queue, now, queued)
        return self._admission.reason_to_refuse(
            request, forecast, fastest_ms, now
        )

    def _try_place(
        self,
        queued: QueuedRequest,
        scan: PlacementScan,
        blocked: dict[str, int],
        now: float,
    ) -> Granted | None:
        """Place a request that is due in this scan, within its team's limit."""
        request = queued.request
        if queued.is_unbound:
            if not _bind(self, queued, now):
                self._hold_reasons[request.request_id] = HELD_BY_UNKNOWN_STREAM
                return None
            self._has_fewer_engines = True
        hold_reason = self._hold_reasons.get(request.request_id)
        candidates = scan.candidates_for(
            request,
            is_held_by_limit=hold_reason in {HELD_BY_LIMIT, HELD_BY_RETRIES},
            waits_for_better_slot=hold_reason in HELD_FOR_BETTER_SLOT,
        )
        if candidates is None:
            return None
        if not self._admission.may_start(request, blocked, now):
            self._hold_reasons[request.request_id] = (
                HELD_BY_RETRIES if request.dispatches else HELD_BY_LIMIT
            )
            return None
        opened = self._engines.open_to(queued.instance, candidates, now)
        roomy = self._engines.with_room(opened, request)
        recorded = self._engines.of_recorded_versions(roomy, request, now)
        if recorded:
            return self._place(queued, recorded, now)
        if candidates:
            self._hold_reasons[request.request_id] = _reason_to_hold(
                is_open=bool(opened), has_room=bool(roomy)
            )
        return None

    def _place(
        self,
        queued: QueuedRequest,
        free: list[EngineLoad],
        now: float,
    ) -> Granted | None:
        """Start a request on an engine with a free slot, or hold it."""
        request_id = queued.request.request_id
        time_budget = self._wait_queue.time_budget(request_id, now)
        choice = Choice(None, HELD_BY_VERSION)
        for group in self.versions.groups(queued.request, free, now):
            if group and choice.load is None:
                choice = choose_engine(group, queued, now, time_budget)
        load = choice.load
        if load is None:
            self._hold_reasons[request_id] = choice.hold_reason
            return None
        self._wait_queue.start(request_id, now)
        quota_tokens = self._admission.start(queued.request, now)
        self.versions.record_grant(load)
        self.origins.record_grant(queued.request, load.engine, now)
        start_granted(load, queued, now, quota_tokens)
        self.standings.charge_start(load, queued.request, now)
        return Granted(
            queued,
            load.engine.name,
            load.engine.address,
            self._hold_reasons.pop(request_id, ''),
            load.engine.version,
            load.engine.born_ms,
            load.rate.limit_per_s,
            load.condition.rejections.per_s,
            tuple(load.health.witnesses.name_others(queued.instance, now)),
        )

    def _refuse(
        self,
        queued: QueuedRequest,
        reason: RefusalReason,
        now: float,
    ) -> Refused:
        request = queued.request
        open_ms = self._engines.open_again_ms(
            queued.instance, now, self._shared.instances
        )
        retry_after_ms = self._admission.retry_after_ms(
            request, reason, open_ms, now
        )
        hold_reason = self._hold_reasons.pop(request.request_id, '')
        refusal = Refuse(
            request_id=request.request_id,
            reason=reason,
            retry_after_ms=retry_after_ms,
        )
        log_fields: dict[str, object] = {
            'waiting': len(self._wait_queue),
            **self._engines.describe(queued, now),
            'rank': request.tier_rank,
            'objective_ms': request.objective_ms,
            'quota': self._admission.describe_quota(request.team),
            'standing': self.standings.record_refusal(queued, now),
        }
        if hold_reason:
            log_fields['held_for'] = hold_reason
        if reason == RefusalReason.UNKNOWN_STREAM:
            log_fields.update(self.origins.describe(request, now))
        if reason == RefusalReason.TOO_MANY_TRIES:
            log_fields.update(self.retry_budget.counts(now)._asdict())
        return Refused(queued, refusal, log_fields)


def _bind(cell: EngineCell, queued: QueuedRequest, now: float) -> bool:
    return cell.origins.bind(queued.request, now, asked_ms=queued.enqueued_ms)


def _reason_to_hold(*, is_open: bool, has_room: bool) -> str:
    """Return why no engine with a free slot gets a request now.

    :param is_open: whether one of them does not rest.
    :param has_room: whether the memory of one that does not rest has room.
    """
    if not is_open:
        return HELD_BY_REST
    return HELD_BY_VERSION if has_room else HELD_BY_MEMORY


def _reason_to_give_up(
    engines: ServiceEngines,
    crash_tracker: EngineCrashTracker,
    queued: QueuedRequest,
    now: float,
) -> RefusalReason | None:
    """Return why no engine may get a request, if so."""
    if not engines.has_engine_left(queued, now):
        return RefusalReason.NO_UPSTREAM
    if crash_tracker.must_refuse(TrackedRun.of_request(queued.request), now):
        return RefusalReason.CULPRIT
    return None


def record_engine_end(
    cell: EngineCell, message: UpstreamEnd, now: float
) -> list[Suspect]:
    """Record that an engine has ended while it ran requests.

    :returns: the requests that are now suspected of crashing it.
    """
    load = cell.loads.get(message.upstream)
    if load is None or load.engine.born_ms != message.born_ms:
        return []
    return cell.crash_tracker.record_engine_end(load.engine, now)
