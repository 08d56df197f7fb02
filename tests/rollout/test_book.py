"""Tests of what a process knows of roll-outs, with a store that misbehaves."""

from typing import NamedTuple

from curio import run
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from result import Err, Ok, Result

from hornbeamdeck.connection.store_client import StoreUnavailable
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.rollout.book import LOST_ORDER_RETENTION_MS, RolloutBook
from hornbeamdeck.rollout.status_writer import StatusWriter
from hornbeamdeck.rollout.store_interface import (
    RolloutChange,
    RolloutStore,
    StoredRollout,
)
from hornbeamdeck.scheduling.rollout import (
    RolloutBounds,
    RolloutOrder,
    RolloutPhase,
)

SERVICE = 'desk'
BOUNDS = RolloutBounds(expose_share=0.1, expose_slack=50, rollback_ms=5000)
NOW = 1e9
# Number of times that the operator changes the order.
MAX_OPERATIONS = 2
NUMBERS = st.integers(0, 1)
FINAL = (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)
FIRST_FINAL = RolloutPhase.COMPLETED
DECISIONS = (
    RolloutPhase.PROMOTING,
    RolloutPhase.COMPLETED,
    RolloutPhase.ROLLED_BACK,
)


# Number of times that the store is restored.
MAX_RESTORES = 2
# Time between two orders. All of them are made before a lost one is given up.
STEP_MS = 1000


class _Clock:
    """The time that all share."""

    def __init__(self) -> None:
        self.now_ms = int(NOW)

    def __call__(self) -> int:
        return self.now_ms


class _Copy(NamedTuple):
    """What a store held at one time."""

    number: int
    created: int
    stored: StoredRollout | None


class _LateWrite(NamedTuple):
    """A write that got no answer and may still take effect."""

    rollout: StoredRollout


class _Store:
    """A store with conditional writes, which loses answers."""

    def __init__(self) -> None:
        self.revision = StoreRevision(1, 0)
        self.created = 0
        self.stored: StoredRollout | None = None
        self.loses_answer = False
        self.is_down = False
        self.late_writes: list[_LateWrite] = []

    def put_order(self, target: str) -> None:
        self.count_change()
        status: tuple[RolloutPhase | None, int] = (None, 0)
        if self.stored is None:
            self.created = self.revision.number
        elif self.stored.order and self.stored.order.target == target:
            status = (self.stored.phase, self.stored.started_unix_ms)
        order = RolloutOrder(SERVICE, target, 10_000, self.created)
        self.stored = StoredRollout(self.revision, order, *status)

    def withdraw(self) -> None:
        self.count_change()
        self.stored = None

    def change(self) -> RolloutChange:
        return RolloutChange(SERVICE, self.stored)

    def copy(self) -> _Copy:
        return _Copy(self.revision.number, self.created, self.stored)

    def restore(self, copied: _Copy) -> None:
        """Go back to a copy, in a new era."""
        era = self.revision.era + 1
        self.revision = StoreRevision(era, copied.number)
        self.created = copied.created
        self.stored = copied.stored
        if copied.stored is not None:
            number = copied.stored.revision.number
            self.stored = copied.stored._replace(
                revision=StoreRevision(era, number)
            )

    def write(self, rollout: StoredRollout) -> None:
        if self.stored is not None and (
            self.stored.revision == rollout.revision
        ):
            self.count_change()
            self.stored = rollout._replace(revision=self.revision)

    async def async_write_status(
        self, _service: str, rollout: StoredRollout
    ) -> Result[RolloutChange, StoreUnavailable]:
        if self.is_down:
            return Err(StoreUnavailable('down'))
        if self.loses_answer:
            self.late_writes.append(_LateWrite(rollout))
            return Err(StoreUnavailable('lost'))
        self.write(rollout)
        return Ok(self.change())

    def count_change(self) -> None:
        number = self.revision.number + 1
        self.revision = self.revision._replace(number=number)


class _Process:
    """One instance: its book, and its writer."""

    def __init__(self, store: _Store, clock: _Clock, *, is_owner: bool) -> None:
        self.book = RolloutBook(BOUNDS, clock)
        self.writer = StatusWriter(
            RolloutStore(
                list_rollouts=None,  # type: ignore[arg-type]
                watch_rollouts=None,  # type: ignore[arg-type]
                write_status=store.async_write_status,
            ),
            self.book,
            lambda: is_owner,
            clock,
        )

    @property
    def phase(self) -> tuple[RolloutOrder, RolloutPhase] | None:
        entry = self.book.entries.get(SERVICE)
        return entry and (entry.rollout.order, entry.rollout.phase)


class RolloutKnowledge(RuleBasedStateMachine):
    """Two instances, a store that loses answers, and an operator."""

    def __init__(self) -> None:
        super().__init__()
        self.store = _Store()
        self.store.put_order('v2')
        self._seen: dict[int, tuple[RolloutOrder, RolloutPhase]] = {}
        self._final: dict[RolloutOrder, RolloutPhase] = {}
        self.overtaken: list[RolloutChange] = []
        self._revisions: dict[int, StoreRevision] = {}
        self.operations = 0
        self.clock = _Clock()
        self.copies = [_Store().copy(), self.store.copy()]
        self.restores = 0
        # The target of an order that the operator has yet to write again.
        self.lost_target = ''
        self._rolled_back: dict[int, str] = {}
        self.all = [
            _Process(self.store, self.clock, is_owner=True),
            _Process(self.store, self.clock, is_owner=False),
        ]
        for number, _ in enumerate(self.all):
            self.read(number)

    @rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        """Restart an instance, which loses everything and may be the owner."""
        self.all[number] = _Process(self.store, self.clock, is_owner=True)
        self._seen.pop(number, None)
        self._revisions.pop(number, None)
        self._rolled_back.pop(number, None)

    @precondition(
        lambda self: self.operations < MAX_OPERATIONS and not self.lost_target
    )
    @rule(version=st.sampled_from(['v2', 'v3', '']))
    def operate(self, version: str) -> None:
        """Change, renew or withdraw the order."""
        self.operations += 1
        self.clock.now_ms += STEP_MS
        self._rolled_back.clear()
        if version:
            self.store.put_order(version)
        else:
            self.store.withdraw()

    @rule()
    def back_up(self) -> None:
        self.copies.append(self.store.copy())

    @precondition(
        lambda self: (
            self.restores < MAX_RESTORES
            and not self.lost_target
            and self.store.stored is not None
        )
    )
    @rule(
        drawn=st.data(),
        other_writes=st.integers(0, 2),
        is_rolled_back=st.booleans(),
        is_written_again=st.booleans(),
    )
    def restore(
        self,
        drawn: st.DataObject,
        other_writes: int,
        *,
        is_rolled_back: bool,
        is_written_again: bool,
    ) -> None:
        """Restore the store from any of its copies."""
        if is_rolled_back:
            self.decide(0, RolloutPhase.ROLLED_BACK)
        self.restores += 1
        self.clock.now_ms += STEP_MS
        order = self.store.stored and self.store.stored.order
        assert order
        self.lost_target = order.target
        for number, process in enumerate(self.all):
            if process.phase == (order, RolloutPhase.ROLLED_BACK):
                self._rolled_back[number] = order.target
        self.store.restore(drawn.draw(st.sampled_from(self.copies)))
        self._final.clear()
        # The numbers of revisions then differ between the eras.
        for _ in range(other_writes):
            self.store.count_change()
        if is_written_again:
            self.write_again()

    @precondition(lambda self: self.lost_target)
    @rule()
    def write_again(self) -> None:
        """Write the order that the restored store may have lost."""
        self.clock.now_ms += STEP_MS
        self.store.put_order(self.lost_target)
        self.lost_target = ''

    @rule(number=NUMBERS)
    def read(self, number: int) -> None:
        if self.store.stored is not None:
            self.overtaken.append(self.store.change())
        changes = [self.store.change()] if self.store.stored else []
        self.all[number].book.apply_list(
            changes, self.clock.now_ms, era=self.store.revision.era
        )

    @precondition(lambda self: self.overtaken)
    @rule(number=NUMBERS, drawn=st.data())
    def read_overtaken(self, number: int, drawn: st.DataObject) -> None:
        """Apply a response that was sent before another one was received."""
        change = drawn.draw(st.sampled_from(self.overtaken))
        self.all[number].book.apply_change(change, self.clock.now_ms)

    @rule(receiver=NUMBERS)
    def gossip(self, receiver: int) -> None:
        sender = self.all[1 - receiver]
        now = self.clock.now_ms
        self.all[receiver].book.merge(sender.book.to_wire(now), now)

    @rule(number=NUMBERS, phase=st.sampled_from(DECISIONS))
    def decide(self, number: int, phase: RolloutPhase) -> None:
        """Decide as an owner does, which never changes a final phase."""
        entry = self.all[number].book.entries.get(SERVICE)
        if entry and not entry.rollout.phase.is_final:
            entry.rollout.adopt(max(phase, entry.rollout.phase))

    @rule(number=NUMBERS, fault=st.sampled_from(['', '', '', 'lost', 'down']))
    def write(self, number: int, fault: str) -> None:
        self.store.loses_answer = fault == 'lost'
        self.store.is_down = fault == 'down'
        run(_async_write, self.all[number])

    @rule()
    def take_effect_late(self) -> None:
        while self.store.late_writes:
            self.store.write(self.store.late_writes.pop().rollout)

    @invariant()
    def final_status_stays(self) -> None:
        stored = self.store.stored
        if stored is None or stored.order is None or stored.phase is None:
            return
        final = self._final.get(stored.order)
        assert final is None or final == stored.phase
        if stored.phase.is_final:
            self._final[stored.order] = stored.phase

    @invariant()
    def phase_never_returns(self) -> None:
        for number, process in enumerate(self.all):
            now = process.phase
            before = self._seen.pop(number, None)
            if now is None:
                continue
            self._seen[number] = now
            if before is not None and before[0] == now[0]:
                assert min(before[1], FIRST_FINAL) <= min(now[1], FIRST_FINAL)

    @invariant()
    def stored_status_outweighs_peers(self) -> None:
        for number, process in enumerate(self.all):
            entry = process.book.entries.get(SERVICE)
            stored = entry.stored if entry else None
            before = self._revisions.pop(number, StoreRevision(0, 0))
            if entry is None or stored is None:
                continue
            assert stored.revision >= before
            self._revisions[number] = stored.revision
            if stored.phase in FINAL:
                assert entry.rollout.phase == stored.phase

    @invariant()
    def roll_back_outlives_a_restored_store(self) -> None:
        for number, target in self._rolled_back.items():
            held = self.all[number].phase
            assert held is not None
            assert held[0].target == target
            assert held[1] == RolloutPhase.ROLLED_BACK

    def teardown(self) -> None:
        """All instances that have read agree with a final status."""
        if self.lost_target:
            self.write_again()
        stored = self.store.stored
        if stored is None or stored.phase is None or not stored.phase.is_final:
            return
        for number, process in enumerate(self.all):
            self.read(number)
            assert process.phase == (stored.order, stored.phase)


async def _async_write(process: _Process) -> None:
    await process.writer.async_write_due()


def test_status_in_the_store_outweighs_what_a_peer_has_decided() -> None:
    """Guards against excluding the only version that is left.

    The roll-out is completed, and the old engines are stopped. An instance that
    was cut off meanwhile has decided on a roll-back and tells its peers.
    """
    store = _Store()
    store.put_order('v2')
    clock = _Clock()
    owner, cut_off = [_Process(store, clock, is_owner=True) for _ in range(2)]
    for process in (owner, cut_off):
        process.book.apply_list([store.change()], NOW)
    owner.book.entries[SERVICE].rollout.adopt(RolloutPhase.COMPLETED)
    run(_async_write, owner)
    cut_off.book.entries[SERVICE].rollout.adopt(RolloutPhase.ROLLED_BACK)
    owner.book.merge(cut_off.book.to_wire(NOW), NOW)
    assert owner.phase is not None
    assert owner.phase[1] == RolloutPhase.COMPLETED


def _stored(era: int, target: str, started_unix_ms: int) -> StoredRollout:
    order = RolloutOrder(SERVICE, target, 10_000, era)
    phase = RolloutPhase.COMPLETED if started_unix_ms else None
    return StoredRollout(StoreRevision(era, 1), order, phase, started_unix_ms)


def _book_of_lost_roll_back() -> RolloutBook:
    """Return a book with a rolled-back order, of an era that has ended."""
    book = RolloutBook(BOUNDS, lambda: int(NOW))
    book.apply_list([RolloutChange(SERVICE, _stored(1, 'v2', 0))], NOW, era=1)
    book.entries[SERVICE].rollout.adopt(RolloutPhase.ROLLED_BACK)
    return book


def _target_and_phase(book: RolloutBook) -> tuple[str, RolloutPhase]:
    rollout = book.entries[SERVICE].rollout
    return rollout.order.target, rollout.phase


def test_older_order_of_a_copy_does_not_replace_the_lost_one() -> None:
    """Guards against a bad version that is used as if it were the old one."""
    book = _book_of_lost_roll_back()
    older = _stored(2, 'v1', int(NOW) - 60_000)
    book.apply_list([RolloutChange(SERVICE, older)], NOW, era=2)
    assert _target_and_phase(book) == ('v2', RolloutPhase.ROLLED_BACK)
    again = _stored(2, 'v2', 0)
    book.apply_list([RolloutChange(SERVICE, again)], NOW, era=2)
    assert _target_and_phase(book) == ('v2', RolloutPhase.ROLLED_BACK)
    assert book.entries[SERVICE].stored == again


def test_new_order_of_a_later_era_replaces_the_lost_one() -> None:
    """Guards against an order that is ignored for a lost one's sake."""
    book = _book_of_lost_roll_back()
    newer = _stored(2, 'v3', 0)
    book.apply_list([RolloutChange(SERVICE, newer)], NOW, era=2)
    assert _target_and_phase(book) == ('v3', RolloutPhase.CANARY)


def test_lost_order_that_is_not_written_again_is_withdrawn() -> None:
    """Guards against an order that is kept for ever."""
    book = _book_of_lost_roll_back()
    book.apply_list([], NOW, era=2)
    assert book.entries[SERVICE].lost_ms == NOW
    book.entries[SERVICE].rollout.adopt(RolloutPhase.COMPLETED)
    book.apply_list([], NOW + LOST_ORDER_RETENTION_MS + 1, era=2)
    assert SERVICE not in book.entries


def test_peer_of_the_era_before_tells_that_an_order_was_rolled_back() -> None:
    """Guards against a bad version that is tried again by a later reader."""
    book = RolloutBook(BOUNDS, lambda: int(NOW))
    again = _stored(2, 'v2', 0)
    book.apply_list([RolloutChange(SERVICE, again)], NOW, era=2)
    book.merge(_book_of_lost_roll_back().to_wire(NOW), NOW)
    assert _target_and_phase(book) == ('v2', RolloutPhase.ROLLED_BACK)


TestRolloutKnowledge = RolloutKnowledge.TestCase
TestRolloutKnowledge.settings = settings(
    max_examples=200, stateful_step_count=25, deadline=None
)
