"""Order of starts on engines, by generated loads."""

from typing import NamedTuple
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.engine_choice import (
    START_MARGIN_MS,
    Choice,
    TimeBudget,
    choose_engine,
)
from hornbeamdeck.scheduling.engine_load import EngineLoad
from hornbeamdeck.scheduling.queued_request import QueuedRequest
from hornbeamdeck.wire import Progress, Release, RunEnd
from tests.scheduling.engine_cell_factories import (
    engine,
    enqueue,
    granted,
    make_cell,
    make_request,
)

CHOOSE_ENGINE = 'hornbeamdeck.scheduling.engine_cell.choose_engine'
SLOWNESS = (0.68, 0.68, 3.0)
PREFILL_MS = 40


class Step(NamedTuple):
    """What happens next: time passes, then a run ends or requests arrive."""

    pass_ms: int
    ends: int
    route_rank: int
    prompt_tokens: int
    output_tokens: int


STEPS = st.lists(
    st.builds(
        Step,
        pass_ms=st.integers(0, 25),
        ends=st.sampled_from((0, 0, 0, 1, 2)),
        route_rank=st.integers(0, 2),
        prompt_tokens=st.sampled_from((100, 1800, 3000, 6600)),
        output_tokens=st.sampled_from((10, 400)),
    ),
    min_size=20,
    max_size=60,
)


class _Watch:
    """Calls `choose_engine` and notes requests that were passed over."""

    def __init__(self, cell: EngineCell) -> None:
        self.cell = cell
        self.passed_over: list[tuple[str, str, str]] = []
        self._order: list[QueuedRequest] = []

    def start(self, now: float) -> None:
        """Note the order of starts."""
        self._order = list(self.cell._wait_queue.in_order(now))

    def choose(
        self,
        free: list[EngineLoad],
        queued: QueuedRequest,
        now: float,
        time_budget: TimeBudget,
    ) -> Choice:
        """Choose as the cell does; check the requests that are ahead."""
        choice = choose_engine(free, queued, now, time_budget)
        load = choice.load
        if load is None:
            return choice
        for ahead in self._order:
            if ahead.request.request_id == queued.request.request_id:
                break
            if ahead.request.request_id in load.runs:
                continue
            self._check(ahead, queued, load, now)
        return choice

    def _check(
        self,
        ahead: QueuedRequest,
        queued: QueuedRequest,
        load: EngineLoad,
        now: float,
    ) -> None:
        request_id = ahead.request.request_id
        if request_id not in self.cell._wait_queue._entries:
            return
        budget = self.cell._wait_queue.time_budget(request_id, now)
        if choose_engine([load], ahead, now, budget).load is not None:
            self.passed_over.append(
                (request_id, queued.request.request_id, load.engine.name)
            )


def _end_runs(cell: EngineCell, count: int, now: float) -> None:
    runs = [each for load in cell.loads.values() for each in load.runs]
    for request_id in runs[:count]:
        cell.release(
            Release(
                request_id=request_id,
                cell='desk',
                end=RunEnd.ANSWERED,
                total_ms=100,
            ),
            now,
        )


def _begin_streams(cell: EngineCell, now: float) -> None:
    for load in cell.loads.values():
        for request_id, run in tuple(load.runs.items()):
            if run.is_prefilling and now - run.started_ms > PREFILL_MS:
                cell.progress(
                    Progress(
                        request_id=request_id,
                        cell='desk',
                        first_token_ms=PREFILL_MS,
                    ),
                    now,
                )


@settings(max_examples=300, deadline=None)
@given(steps=STEPS)
def test_no_request_starts_where_one_ahead_of_it_could(
    steps: list[Step],
) -> None:
    """Guards against a slot that goes to a less urgent request while a more
    urgent one waits that could start there, also if that one was held a moment
    ago and can start only since time has passed.
    """
    cell = make_cell(*(engine(f'e{each}', slots=3) for each in range(3)))
    for load, slowness in zip(cell.loads.values(), SLOWNESS, strict=True):
        load.slowness = slowness
    watch = _Watch(cell)
    now = 0.0
    with mock.patch(CHOOSE_ENGINE, watch.choose):
        for number, step in enumerate(steps):
            now += step.pass_ms
            _begin_streams(cell, now)
            _end_runs(cell, step.ends, now)
            enqueue(
                cell,
                make_request(
                    f'r{number}',
                    route_rank=step.route_rank,
                    prompt_tokens=step.prompt_tokens,
                    output_tokens=step.output_tokens,
                    objective_ms=300,
                    gap_ms=50,
                ),
                now=now,
            )
            list(cell.refuse_expired(now))
            watch.start(now)
            list(cell.place_waiting(now))
    assert not watch.passed_over


def test_a_held_request_starts_before_one_that_arrives_later() -> None:
    """Guards against a slot that goes to a new, less urgent request between
    two full scans, when a more urgent one that was held may just start there.
    """
    cell = make_cell(engine('e0', slots=3))
    cell.loads['e0'].slowness = 3.0
    enqueue(cell, make_request('stream', gap_ms=100, prompt_tokens=10))
    assert granted(cell) == [('stream', 'e0')]
    cell.progress(
        Progress(request_id='stream', cell='desk', first_token_ms=30), 30
    )
    urgent = make_request('urgent', route_rank=0, prompt_tokens=3000)
    enqueue(cell, urgent, now=31)
    assert not granted(cell, now=31)
    slack_ms = cell._wait_queue.time_budget('urgent', 31).slack_ms
    ready_ms = 31 + slack_ms - START_MARGIN_MS
    assert not granted(cell, now=ready_ms - 1)
    enqueue(cell, make_request('less', route_rank=2), now=ready_ms + 1)
    assert granted(cell, now=ready_ms + 1)[0] == ('urgent', 'e0')
