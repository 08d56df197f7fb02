"""The claim protocol under interleaved sends, store faults and crashes."""

from typing import Any
from unittest import mock

import curio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.process.background import Background
from hornbeamdeck.request import claim as claim_module
from hornbeamdeck.request.claim import Claims
from hornbeamdeck.request.claim_record import ClaimCall
from hornbeamdeck.request.execution_right import Once, Recorded
from hornbeamdeck.request.outcome import Outcome
from tests.fakes import FAULT_DOWN, FAULT_LOST_RESPONSE, FakePlatform

KEY = 'claims/counter/families/huelgoat'
BOOKING_BODY = b'receipt'
MAX_DEADLINE_READS = 6


class RepeatedBookings(RuleBasedStateMachine):
    """Guards against a booking that runs, and is charged, twice.

    One booking is sent repeatedly to many instances. Some instances crash
    between claim and run or between run and record. The store fails before or
    after its writes take effect.
    """

    def __init__(self) -> None:
        """Start with an empty store and nothing sent."""
        super().__init__()
        self.platform = FakePlatform()
        self.runs = 0
        self.rights_held: list[Once] = []
        self.ran: list[Once] = []
        self.not_run_responses = 0
        self.replayed_responses = 0

    @rule(fault=st.sampled_from(('', '', FAULT_LOST_RESPONSE, FAULT_DOWN)))
    def change_store_fault(self, fault: str) -> None:
        """Make the store fail, or work again."""
        self.platform.fault = fault

    @rule(
        other=st.booleans(),
        fault=st.sampled_from((FAULT_LOST_RESPONSE, FAULT_DOWN)),
        calls=st.sampled_from((0, 0, 1, 3, 4)),
    )
    def send(self, other: bool, fault: str, calls: int) -> None:
        """Send the booking, or another one with the same key, to an instance.

        The store fails in the first calls that this causes.
        """
        self.platform.next_faults = [fault] * calls
        fingerprint = 'other' if other else 'same'
        claimed = self._run(self._async_send(fingerprint))
        if claimed.is_err():
            failure = claimed.unwrap_err()
            self.not_run_responses += failure.outcome == Outcome.NOT_RUN
            return
        match claimed.unwrap():
            case Once() as once:
                self.rights_held.append(once)
            case Recorded(response):
                assert response.body == BOOKING_BODY
                assert self.runs == 1
                self.replayed_responses += 1

    @precondition(lambda self: self.rights_held)
    @rule()
    def run_booking(self) -> None:
        """Run the booking under a right that was granted."""
        self.runs += 1
        self.ran.append(self.rights_held.pop())

    @precondition(lambda self: self.rights_held)
    @rule()
    def release(self) -> None:
        """Release a right, as after a call that no upstream accepted."""
        self._run(self.rights_held.pop().release())

    @precondition(lambda self: self.rights_held)
    @rule()
    def crash_before_the_run(self) -> None:
        """Crash an instance that holds a right."""
        self.rights_held.pop()

    @precondition(lambda self: self.ran)
    @rule()
    def record(self) -> None:
        """Record the outcome of a run."""
        response = HttpResponse(201, {}, BOOKING_BODY)
        self._run(self.ran.pop().record(response))

    @precondition(lambda self: self.ran)
    @rule()
    def crash_before_the_record(self) -> None:
        """Crash an instance that has run the booking."""
        self.ran.pop()

    @invariant()
    def runs_at_most_once(self) -> None:
        """Check that at most one run has happened or is still permitted."""
        assert self.runs + len(self.rights_held) <= 1

    async def _async_send(self, fingerprint: str) -> Any:
        deadline_reads = iter(range(MAX_DEADLINE_READS))
        call = mock.Mock(spec=ClaimCall)
        call.object_key = KEY
        call.fingerprint = fingerprint
        # Each read of the time left brings the deadline nearer.
        type(call).left_ms = mock.PropertyMock(
            side_effect=lambda: (
                10_000 if next(deadline_reads, None) is not None else 0
            ),
        )
        background = Background()
        claims = Claims(self.platform, background)  # type: ignore[arg-type]
        claimed = await claims.async_claim(call)
        while background.pending:
            await curio.sleep(0)
        return claimed

    def _run(self, work: Any) -> Any:
        async def _async_work() -> Any:
            return await work

        clock = iter(range(10**9))

        async def _async_no_sleep(_seconds: float) -> None:
            await curio.sleep(0)

        with (
            mock.patch.object(claim_module, 'sleep', _async_no_sleep),
            mock.patch.object(
                claim_module, 'now_ms', lambda: next(clock) * 10_000
            ),
        ):
            return curio.run(_async_work)


TestRepeatedBookings = RepeatedBookings.TestCase
TestRepeatedBookings.settings = settings(
    max_examples=150,
    stateful_step_count=25,
    deadline=None,
)
