"""The claim protocol under interleavings of sends, faults and deaths."""

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
from hornbeamdeck.request import claim as module
from hornbeamdeck.request.claim import Claims
from hornbeamdeck.request.claim_record import ClaimCall
from hornbeamdeck.request.once import Once, Recorded
from hornbeamdeck.request.outcome import Outcome
from tests.fakes import DOWN, LOST, FakePlatform

KEY = 'claims/counter/families/huelgoat'
RECEIPT = b'receipt'
TRIES = 6


class Families(RuleBasedStateMachine):
    """One booking is sent to many instances, again and again.

    Some instances die between claim and run or between run and record; the
    platform fails before or after its writes take effect.
    """

    def __init__(self) -> None:
        """Start with a platform and nothing sent."""
        super().__init__()
        self.platform = FakePlatform()
        self.runs = 0
        self.held: list[Once] = []
        self.ran: list[Once] = []
        self.told_not_run = 0
        self.told_ran = 0

    @rule(fault=st.sampled_from(('', '', LOST, DOWN)))
    def platform_changes(self, fault: str) -> None:
        """Have the platform fail, or work again."""
        self.platform.fault = fault

    @rule(
        other=st.booleans(),
        fault=st.sampled_from((LOST, DOWN)),
        calls=st.sampled_from((0, 0, 1, 3, 4)),
    )
    def send(self, other: bool, fault: str, calls: int) -> None:
        """Send the booking, or another one under its key, to an instance.

        The platform fails in the first calls that this takes.
        """
        self.platform.coming = [fault] * calls
        fingerprint = 'other' if other else 'same'
        taken = self._run(self._async_send(fingerprint))
        if taken.is_err():
            failure = taken.unwrap_err()
            self.told_not_run += failure.outcome == Outcome.NOT_RUN
            return
        match taken.unwrap():
            case Once() as once:
                self.held.append(once)
            case Recorded(response):
                assert response.body == RECEIPT
                assert self.runs == 1
                self.told_ran += 1

    @precondition(lambda self: self.held)
    @rule()
    def dispatch(self) -> None:
        """Run the booking under a right that was given."""
        self.runs += 1
        self.ran.append(self.held.pop())

    @precondition(lambda self: self.held)
    @rule()
    def release(self) -> None:
        """Give a right up: no upstream took the call."""
        self._run(self.held.pop().release())

    @precondition(lambda self: self.held)
    @rule()
    def die_before_the_run(self) -> None:
        """Lose an instance that held a right."""
        self.held.pop()

    @precondition(lambda self: self.ran)
    @rule()
    def record(self) -> None:
        """Keep the outcome."""
        response = HttpResponse(201, {}, RECEIPT)
        self._run(self.ran.pop().record(response))

    @precondition(lambda self: self.ran)
    @rule()
    def die_before_the_record(self) -> None:
        """Lose an instance that has run the booking."""
        self.ran.pop()

    @invariant()
    def runs_at_most_once(self) -> None:
        """Check that no family is charged twice, now or in a moment."""
        assert self.runs + len(self.held) <= 1

    async def _async_send(self, fingerprint: str) -> Any:
        tries = iter(range(TRIES))
        call = mock.Mock(spec=ClaimCall)
        call.object_key = KEY
        call.fingerprint = fingerprint
        # Each look at the time left brings the deadline nearer.
        type(call).left_ms = mock.PropertyMock(
            side_effect=lambda: 10_000 if next(tries, None) is not None else 0,
        )
        background = Background()
        claims = Claims(self.platform, background)  # type: ignore[arg-type]
        taken = await claims.async_claim(call)
        while background.pending:
            await curio.sleep(0)
        return taken

    def _run(self, work: Any) -> Any:
        async def _async_work() -> Any:
            return await work

        clock = iter(range(10**9))

        async def _async_no_sleep(_seconds: float) -> None:
            await curio.sleep(0)

        with (
            mock.patch.object(module, 'sleep', _async_no_sleep),
            mock.patch.object(module, 'now_ms', lambda: next(clock) * 10_000),
        ):
            return curio.run(_async_work)


TestFamilies = Families.TestCase
TestFamilies.settings = settings(
    max_examples=150,
    stateful_step_count=25,
    deadline=None,
)
