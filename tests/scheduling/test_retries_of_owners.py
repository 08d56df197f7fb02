"""Retries that a fleet grants while its owners come, go and overlap."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from hornbeamdeck.scheduling.retry_budget import RetryBudget, RetryRules
from hornbeamdeck.scheduling.served_share import ServedShare
from tests.retry_rule import RetryRule
from tests.scheduling.retry_budgets import RECORD_INTERVAL_MS, try_spend

RULE = RetryRule(ratio=0.2, slack=100, window_ms=2000)
PROCESSES = 4
# Longer than a silent process stays the owner.
FREEZE_MS = 1100
PROCESS = st.integers(0, PROCESSES - 1)


class _Process:
    """One process of the fleet and what it believes of its ownership."""

    def __init__(self, now: float, *, is_first_start: bool) -> None:
        self.share = 0.0
        self.is_frozen = False
        self._served = ServedShare(
            RULE.window_ms, now, is_first_start=is_first_start
        )
        self.budget = RetryBudget(
            RetryRules(RULE.ratio, RULE.slack, RULE.window_ms),
            self._served.lowest,
        )

    def record(self, now: float) -> None:
        """Record its ownership, as a running process does periodically."""
        if not self.is_frozen and self._served.record(self.share, now):
            self.budget.drop_saved()


class OwnersMachine(RuleBasedStateMachine):
    """A fleet that grants as many retries as its owners allow."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.processes = [
            _Process(0, is_first_start=True) for _ in range(PROCESSES)
        ]

    @initialize(owner=PROCESS)
    def start(self, owner: int) -> None:
        """Let one process own the cells from the start of the fleet."""
        self._set_owners({owner: 1.0})

    @rule(owner=PROCESS)
    def move(self, owner: int) -> None:
        """Move the ownership to a process."""
        self._set_owners({owner: 1.0})

    @rule(owners=st.sets(PROCESS, min_size=2, max_size=3))
    def split(self, owners: set[int]) -> None:
        """Partition the fleet, so that each part has an owner."""
        self._set_owners(dict.fromkeys(owners, 1 / len(owners)))

    @rule(number=PROCESS)
    def restart(self, number: int) -> None:
        """Kill a process and start it again, still unknown to the others."""
        self.processes[number] = _Process(self.now, is_first_start=False)
        self.processes[number].record(self.now)

    @rule(number=PROCESS, successor=PROCESS)
    def freeze(self, number: int, successor: int) -> None:
        """Freeze a process for a time; it believes to be the owner after it."""
        frozen = self.processes[number]
        frozen.is_frozen = True
        self.wait(FREEZE_MS)
        if successor != number:
            believed_share = frozen.share
            self._set_owners({successor: 1.0})
            frozen.share = believed_share
            self.wait(RULE.window_ms + 2 * RECORD_INTERVAL_MS)
            frozen.share = 0.0
        frozen.is_frozen = False

    @rule(waited_ms=st.sampled_from((20, 700, 2100)))
    def wait(self, waited_ms: float) -> None:
        """Let time pass."""
        end_ms = self.now + waited_ms
        while self.now < end_ms:
            self.now = min(self.now + RECORD_INTERVAL_MS, end_ms)
            for process in self.processes:
                process.record(self.now)

    @rule(number=PROCESS, count=st.sampled_from((1, 20, 300)))
    def send_requests(self, number: int, count: int) -> None:
        """Send requests, which one process receives as the owner."""
        for _ in range(count):
            self.requests.append(self.now)
            self.processes[number].budget.record_request(self.now)

    @rule()
    def retry_all_that_is_allowed(self) -> None:
        """Let each process grant as many retries as it allows."""
        for process in self.processes:
            if process.is_frozen:
                continue
            while try_spend(process.budget, self.now):
                self.retries.append(self.now)

    def teardown(self) -> None:
        """Check that no window holds more retries than allowed."""
        assert RULE.excess(self.requests, self.retries) <= 0

    def _set_owners(self, shares: dict[int, float]) -> None:
        for number, process in enumerate(self.processes):
            process.share = shares.get(number, 0.0)
            process.record(self.now)


TestRetriesOfOwners = OwnersMachine.TestCase
TestRetriesOfOwners.settings = settings(
    max_examples=100, stateful_step_count=20
)


def test_owners_in_turn_do_not_spend_what_they_saved_before() -> None:
    """Guards against retries that many owners saved up before the window."""
    machine = OwnersMachine()
    machine.processes = [_Process(0, is_first_start=True) for _ in range(13)]
    machine.start(0)
    for number, _ in enumerate(machine.processes):
        machine.move(number)
        machine.send_requests(number, 300)
        machine.wait(20)
    machine.move(0)
    machine.wait(3 * RULE.window_ms)
    for number, process in enumerate(machine.processes):
        machine.move(number)
        while try_spend(process.budget, machine.now):
            machine.retries.append(machine.now)
        machine.wait(20)
    # The first of them may use all that is allowed.
    assert len(machine.retries) > 0.6 * RULE.slack
    machine.teardown()
