"""Invariants of a cell under random requests, run ends and engine changes."""

import math

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hornbeamdeck.scheduling.cell import Refused
from hornbeamdeck.scheduling.request_rate import LONG_WINDOW_MS
from hornbeamdeck.wire import EngineObservation, Release, RunEnd
from tests.scheduling.engine_cell_factories import (
    MODEL,
    async_discard,
    engine,
    make_cell,
    make_request,
)

SLOTS = 1
ENDS = st.sampled_from(list(RunEnd))
NAMES = ('e1', 'e2', 'e3')
SENDERS = ('a', 'b')


class CellStates(RuleBasedStateMachine):
    """Checks that each request ends in one way and no engine is overfilled."""

    def __init__(self) -> None:
        """Start with two engines and no requests."""
        super().__init__()
        self.now = 0.0
        self.count = 0
        self.cell = make_cell(
            engine('e1', slots=SLOTS), engine('e2', slots=SLOTS)
        )
        self.waiting: dict[str, str] = {}
        self.running: dict[str, str] = {}
        # By incarnation: what it accepts, and its grants since it said so.
        self.limits: dict[tuple[str, int], float] = {}
        self.limited_grants: dict[tuple[str, int], list[float]] = {}
        self.leaving: set[tuple[str, int]] = set()
        # By incarnation and sender: when its rest ends.
        self.rests: dict[tuple[str, int, str], float] = {}

    @rule(
        rank=st.integers(0, 4),
        prompt=st.integers(0, 60_000),
        objective=st.integers(-2000, 2000),
        sender=st.sampled_from(SENDERS),
        excluded=st.lists(st.sampled_from(NAMES), max_size=2),
    )
    def enqueue_one(
        self,
        rank: int,
        prompt: int,
        objective: int,
        sender: str,
        excluded: list[str],
    ) -> None:
        """Enqueue a request."""
        self.count += 1
        request_id = f'r{self.count}'
        request = make_request(
            request_id,
            tier_rank=rank,
            prompt_tokens=prompt,
            objective_ms=objective,
            excluded=excluded,
            dispatches=len(excluded),
        )
        refused = self.cell.enqueue(
            request,
            sender=sender,
            deliver=async_discard,
            now=self.now,
        )
        if refused is None:
            self.waiting[request_id] = sender

    @rule(passed_ms=st.integers(1, 2000))
    def advance_time(self, passed_ms: int) -> None:
        """Advance the time, expire requests and grant what fits."""
        self.now += passed_ms
        for refused in self.cell.refuse_expired(self.now):
            assert isinstance(refused, Refused)
            self.waiting.pop(refused.queued.request.request_id)
        for grant in self.cell.place_waiting(self.now):
            request_id = grant.queued.request.request_id
            assert grant.upstream not in grant.queued.request.excluded
            self.running[request_id] = self.waiting.pop(request_id)
            incarnation = (grant.upstream, grant.born_ms)
            assert incarnation not in self.leaving
            resting = (*incarnation, self.running[request_id])
            assert self.rests.get(resting, 0) <= self.now
            if incarnation in self.limits:
                self.limited_grants[incarnation].append(self.now)

    @rule(drawn=st.data(), end=ENDS)
    def end_one(self, drawn: st.DataObject, end: RunEnd) -> None:
        """End a run in some way."""
        if not self.running:
            return
        request_id = drawn.draw(st.sampled_from(sorted(self.running)))
        self.running.pop(request_id)
        release = Release(
            request_id=request_id,
            cell='desk',
            end=end,
            total_ms=10,
        )
        self.cell.release(release, self.now)

    @rule(sender=st.sampled_from(SENDERS))
    def lose_ingress(self, sender: str) -> None:
        """Close the connection of an ingress with all its requests."""
        self.cell.remove_sender(sender)
        for requests in (self.waiting, self.running):
            removed = [key for key, by in requests.items() if by == sender]
            for request_id in removed:
                requests.pop(request_id)

    @rule(
        names=st.sets(st.sampled_from(NAMES)),
        draining=st.sampled_from(NAMES),
        born_ms=st.integers(1, 2),
    )
    def change_engines(
        self,
        names: set[str],
        draining: str,
        born_ms: int,
    ) -> None:
        """Apply another list of engines."""
        self.cell.update_engines(
            [
                engine(
                    name,
                    slots=SLOTS,
                    is_draining=name == draining,
                    born_ms=born_ms,
                )
                for name in names
            ],
            MODEL,
            {},
        )

    @rule(
        name=st.sampled_from(NAMES),
        born_ms=st.integers(1, 2),
        per_s=st.sampled_from((None, 0.0, 0.5, 1.0)),
        age_ms=st.integers(0, 50),
    )
    def state_limit(
        self, name: str, born_ms: int, per_s: float | None, age_ms: int
    ) -> None:
        """Report what a response of an engine stated."""
        stated = EngineObservation(
            cell='desk',
            upstream=name,
            born_ms=born_ms,
            age_ms=age_ms,
            per_s=per_s,
        )
        if self.cell.apply_observation(stated, SENDERS[0], self.now) is None:
            return
        incarnation = (name, born_ms)
        self.limits.pop(incarnation, None)
        if per_s is not None:
            self.limits[incarnation] = per_s
            self.limited_grants[incarnation] = []

    @rule(
        name=st.sampled_from(NAMES),
        born_ms=st.integers(1, 2),
        sender=st.sampled_from(SENDERS),
        rest_ms=st.integers(0, 3000),
        is_leaving=st.booleans(),
    )
    def state_rest_or_leaving(
        self,
        name: str,
        born_ms: int,
        sender: str,
        rest_ms: int,
        is_leaving: bool,
    ) -> None:
        """Report that an engine asks for rest or leaves."""
        load = self.cell.loads.get(name)
        if load is None or load.engine.born_ms != born_ms:
            return
        observation = EngineObservation(
            cell='desk',
            upstream=name,
            born_ms=born_ms,
            age_ms=0,
            is_limit_unknown=True,
            is_leaving=is_leaving,
            rest_ms=rest_ms,
        )
        self.cell.apply_observation(observation, sender, self.now)
        if is_leaving:
            self.leaving.add((name, born_ms))
        resting = (name, born_ms, sender)
        until_ms = max(self.rests.get(resting, 0), self.now + rest_ms)
        self.rests[resting] = until_ms

    @rule(
        name=st.sampled_from(NAMES),
        per_s=st.sampled_from((0.0, 0.5, 1.0)),
        count=st.integers(2, 6),
    )
    def serve_several(self, name: str, per_s: float, count: int) -> None:
        """Limit an engine and serve short requests, one after another."""
        load = self.cell.loads.get(name)
        if load is None:
            return
        self.state_limit(name, load.engine.born_ms, per_s, 0)
        others = [each for each in NAMES if each != name]
        for _ in range(count):
            self.enqueue_one(0, 0, 1000, SENDERS[0], others)
            self.advance_time(100)
            for request_id in list(load.runs):
                self.running.pop(request_id, None)
                release = Release(
                    request_id=request_id,
                    cell='desk',
                    end=RunEnd.ANSWERED,
                    total_ms=10,
                )
                self.cell.release(release, self.now)

    @invariant()
    def limits_are_kept(self) -> None:
        """Check that no engine gets more than it accepts in any window."""
        for incarnation, per_s in self.limits.items():
            recent = [
                at_ms
                for at_ms in self.limited_grants[incarnation]
                if at_ms > self.now - LONG_WINDOW_MS
            ]
            most = math.ceil(per_s * LONG_WINDOW_MS / 1000)
            assert len(recent) <= max(most, 1)

    @invariant()
    def no_engine_is_overfilled(self) -> None:
        """Check that no engine runs more requests than it has slots."""
        for load in self.cell.loads.values():
            assert len(load.runs) <= SLOTS

    @invariant()
    def waiting_requests_are_those_admitted(self) -> None:
        """Check that no request is lost or queued twice."""
        assert len(self.cell) == len(self.waiting)

    @invariant()
    def only_running_requests_hold_slots(self) -> None:
        """Check that no slot is held by a run that has ended."""
        for load in self.cell.loads.values():
            assert load.runs.keys() <= self.running.keys()


TestCellStates = CellStates.TestCase
