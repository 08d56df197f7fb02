"""The waiting requests of one service, and who runs next on which engine.

Decisions alone: time is given, nothing is sent or read here.
"""

import math
from collections.abc import Iterable, Iterator
from typing import Final

from hornbeamdeck.process.engine_directory import Engine
from hornbeamdeck.scheduling.cell import Granted, Refused
from hornbeamdeck.scheduling.cell_door import CellDoor, Shared
from hornbeamdeck.scheduling.crash_watch import CrashWatch
from hornbeamdeck.scheduling.engine_choice import choose_engine
from hornbeamdeck.scheduling.engine_load import (
    EngineLoad,
    Learned,
    forecast_places,
    unit_ms,
)
from hornbeamdeck.scheduling.forecast import Forecast
from hornbeamdeck.scheduling.placement_scan import (
    PlacementScan,
    PlacementTracker,
)
from hornbeamdeck.scheduling.request_rank import stake_of
from hornbeamdeck.scheduling.retry_budget import RetryBudget
from hornbeamdeck.scheduling.ticket import Deliver, Ticket
from hornbeamdeck.scheduling.waiting_room import WaitingRoom
from hornbeamdeck.version.routed import EngineTraits
from hornbeamdeck.wire import (
    Enqueue,
    Progress,
    RefusalReason,
    Refuse,
    Register,
    Release,
    RunEnd,
    Suspect,
)

__all__ = ('EngineCell',)

# Why a request waits though engines have places, as the log tells it.
HELD_BY_LIMIT: Final = "the team's limit"
# Between two looks for what waits too long or in vain: a little less than the
# scheduler's sweep (25 ms), so that each sweep looks.
LOOK_MS: Final = 20.0


class EngineCell:
    """Holds what waits for one service and places it on its engines."""

    def __init__(self, shared: Shared, budget: RetryBudget) -> None:
        """Start without engines; `adopt` brings them."""
        self.loads: dict[str, EngineLoad] = {}
        self.suspicions = CrashWatch()
        self._waiting = WaitingRoom()
        self._learned = Learned.initial()
        self._held_for: dict[str, str] = {}
        self._looked_ms = -math.inf
        self._placements = PlacementTracker()
        self._door = CellDoor(shared, budget, self._waiting)

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self._waiting)

    def adopt(
        self,
        engines: Iterable[Engine],
        traits: EngineTraits,
        slowness: dict[str, float],
    ) -> None:
        """Take over a list of engines.

        An engine that started again under its name holds nothing of before,
        so its runs are forgotten here too.

        :param slowness: learned elsewhere, for engines that are new here.
        """
        self._placements.request_full_scan()
        named = {engine.name: engine for engine in engines}
        for gone in self.loads.keys() - named.keys():
            self.loads.pop(gone)
        for name, engine in named.items():
            load = self.loads.get(name)
            if load is None or load.engine.born_ms != engine.born_ms:
                load = EngineLoad(engine, traits, self._learned)
                load.slowness = slowness.get(name, 1.0)
                self.loads[name] = load
            load.update(engine, traits)

    def offer(
        self,
        request: Enqueue,
        *,
        sender: str,
        deliver: Deliver,
        now: float,
    ) -> Refused | None:
        """Queue a request, or refuse it where it can't be answered in time."""
        self.withdraw(request.request_id)
        ticket = Ticket(
            request=request,
            sender=sender,
            deliver=deliver,
            deadline_ms=now + (request.patience_ms or request.deadline_ms),
            service_ms=0,
        )
        fastest_ms = _fastest_ms(self.loads.values(), request, now)
        reason = self._reason_to_refuse(request, fastest_ms, now)
        if reason is not None:
            return self._refuse(ticket, reason, now)
        self._waiting.push(ticket, now, fastest_ms)
        self._placements.note_arrival(request)
        return None

    def displace(self) -> Iterator[Refused]:
        """Give nothing up: what waits was admitted by its expected wait."""
        return iter(())

    def expire(self, now: float) -> Iterator[Refused]:
        """Give up on what has no use any more.

        Called with each message, but rate-limited: checking all waiting and
        running requests each time would take most of a core at some dozens of
        engines.
        """
        if not len(self._waiting) or now - self._looked_ms < LOOK_MS:
            return
        self._looked_ms = now
        for ticket in self._waiting.expired(now, self._forecast(now)):
            self._door.stop_waiting(ticket.request)
            yield self._refuse(ticket, RefusalReason.DEADLINE, now)

    def grants(self, now: float) -> Iterator[Granted]:
        """Place waiting requests until no engine has a place for any.

        Called with each message, so the scan is incremental: requests that
        were tried before are tried again only on engines that have changed
        since, and periodically on all engines.
        """
        scan = self._placements.start_scan(
            self.loads.values(),
            len(self._waiting),
            now,
        )
        if not scan.free:
            return
        blocked: dict[str, int] = {}
        for ticket in self._waiting.in_order(now):
            if not scan.free:
                return
            granted = self._try_place(ticket, scan, blocked, now)
            if granted is not None:
                scan.remove_if_full(self.loads[granted.upstream])
                yield granted

    def withdraw(self, request_id: str) -> None:
        """Forget a waiting request whose caller has left."""
        ticket = self._waiting.remove(request_id)
        self._held_for.pop(request_id, None)
        if ticket is not None:
            self._door.stop_waiting(ticket.request)

    def register(self, run: Register, sender: str) -> None:
        """Account for a run that another owner granted."""
        self.withdraw(run.request_id)
        load = self.loads.get(run.upstream)
        if load is not None:
            load.add(run, sender)

    def progress(self, message: Progress, now: float) -> None:
        """Note a first token."""
        load = _running_at(self.loads.values(), message.request_id)
        if load is not None:
            load.first_token(message.request_id, message.first_token_ms, now)
            self._placements.note_engine_changed(load.engine.name)

    def release(self, message: Release, now: float) -> Suspect | None:
        """Note the end of a run.

        :returns: whom a break of the engine is now held against, if any.
        """
        load = _running_at(self.loads.values(), message.request_id)
        if load is None:
            return None
        end = RunEnd(message.end)
        run = load.end(message.request_id, end, now)
        if run is None:
            return None
        self._placements.note_engine_changed(load.engine.name)
        if end == RunEnd.ANSWERED:
            load.learn_pause(run, message.longest_gap_ms or 0)
        return _judge(self.suspicions, load.engine, run.fingerprint, end, now)

    def drop_sender(self, sender: str) -> None:
        """Forget all that came by a connection that has gone."""
        for request_id in self._waiting.sent_by(sender):
            self.withdraw(request_id)
        for load in self.loads.values():
            load.drop_sender(sender)
        self._placements.request_full_scan()

    def _reason_to_refuse(
        self,
        request: Enqueue,
        fastest_ms: float,
        now: float,
    ) -> RefusalReason | None:
        if not self.loads:
            return RefusalReason.NO_UPSTREAM
        if self.suspicions.is_culprit(request.fingerprint, now):
            return RefusalReason.CULPRIT
        forecast = self._forecast(now)
        return self._door.reason_to_refuse(request, forecast, fastest_ms, now)

    def _forecast(self, now: float) -> Forecast:
        return forecast_places(
            [
                load
                for load in self.loads.values()
                if not load.engine.is_leaving
            ],
            len(self._waiting),
            self._waiting.interval_ms,
            now,
        )

    def _try_place(
        self,
        ticket: Ticket,
        scan: PlacementScan,
        blocked: dict[str, int],
        now: float,
    ) -> Granted | None:
        """Place a request that is due in this scan, within its team's limit."""
        request = ticket.request
        held_for = self._held_for.get(request.request_id)
        places = scan.candidates_for(
            request,
            is_held_by_limit=held_for == HELD_BY_LIMIT,
        )
        if places is None:
            return None
        if not self._door.may_start(request, blocked, now):
            self._held_for[request.request_id] = HELD_BY_LIMIT
            return None
        return self._place(ticket, places, now) if places else None

    def _place(
        self,
        ticket: Ticket,
        free: list[EngineLoad],
        now: float,
    ) -> Granted | None:
        """Start a request on one of the engines with a place, or hold it."""
        request_id = ticket.request.request_id
        chances = self._waiting.chances(request_id, now)
        choice = choose_engine(free, ticket, now, chances)
        load = choice.load
        if load is None:
            self._held_for[request_id] = choice.held_for
            return None
        self._waiting.start(request_id, now)
        self._door.start(ticket.request, now)
        _add_run(load, ticket, now)
        return Granted(
            ticket,
            load.engine.name,
            str(load.engine.address),
            self._held_for.pop(request_id, ''),
        )

    def _refuse(
        self,
        ticket: Ticket,
        reason: RefusalReason,
        now: float,
    ) -> Refused:
        request = ticket.request
        wait_ms = self._door.wait_ms(request, reason, now)
        held_for = self._held_for.pop(request.request_id, '')
        refusal = Refuse(
            request_id=request.request_id,
            reason=reason,
            retry_after_ms=wait_ms,
        )
        facts = self._facts(request, now)
        if held_for:
            facts['held_for'] = held_for
        return Refused(ticket, refusal, facts)

    def _facts(self, request: Enqueue, now: float) -> dict[str, object]:
        """Tell what a refusal was decided on."""
        return {
            'waiting': len(self._waiting),
            'engines': len(self.loads),
            'places': sum(load.has_place() for load in self.loads.values()),
            'fastest_ms': int(_fastest_ms(self.loads.values(), request, now)),
            'rank': request.tier_rank,
            'objective_ms': request.objective_ms,
            'quota': self._door.describe_quota(request.team),
        }


def _add_run(load: EngineLoad, ticket: Ticket, now: float) -> None:
    request = ticket.request
    run = Register(
        request_id=request.request_id,
        cell=request.cell,
        upstream=load.engine.name,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        is_prefilling=True,
        fingerprint=request.fingerprint,
    )
    zone = request.zone or ''
    load.add(
        run,
        ticket.sender,
        zone,
        request.gap_ms or 0,
        stake=stake_of(request),
    )
    load.start(request.request_id, now)


def _fastest_ms(
    loads: Iterable[EngineLoad],
    request: Enqueue,
    now: float,
) -> float:
    work_ms = unit_ms(request.prompt_tokens)
    return min(
        (
            load.first_token_ms(work_ms, now)
            for load in loads
            if not load.engine.is_leaving
        ),
        default=0.0,
    )


def _running_at(
    loads: Iterable[EngineLoad],
    request_id: str,
) -> EngineLoad | None:
    for load in loads:
        if request_id in load.runs:
            return load
    return None


def _judge(
    suspicions: CrashWatch,
    engine: Engine,
    fingerprint: str,
    end: RunEnd,
    now: float,
) -> Suspect | None:
    blamed = ''
    if end == RunEnd.ANSWERED:
        suspicions.note_answered(fingerprint)
    if end == RunEnd.FAILED:
        suspicions.note_broken(engine.name, fingerprint, now)
    if end == RunEnd.NOT_DISPATCHED:
        blamed = suspicions.note_gone(engine.name, now)
    if not blamed:
        return None
    return Suspect(
        cell=engine.service,
        fingerprint=blamed,
        crashes=suspicions.crashes(blamed, now),
    )
