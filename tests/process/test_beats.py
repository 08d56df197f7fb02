"""Proofs that travel from instance to instance."""

import json
import random
from collections import Counter
from typing import Any, cast

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.platform import StoredObject
from hornbeamdeck.process import (
    attendance,
    beat_pace,
    beats,
    rendezvous,
    suspects,
    told,
)
from hornbeamdeck.process import membership as membership_module
from hornbeamdeck.process.engine_directory import EngineDirectory
from hornbeamdeck.process.freshness import Freshness
from hornbeamdeck.process.membership import (
    STATE_LEAVING,
    STATE_LIVE,
    InstanceStatus,
    Membership,
)
from hornbeamdeck.process.peers import Peers
from hornbeamdeck.process.spending import SpendingLog, SpendingReports
from hornbeamdeck.wire import Beat, Message

VERSION = 7
FLEET = 126
DELAYS = st.lists(st.integers(0, 5000), min_size=2, max_size=12)


class _World:
    """True time, and how far the clock of whoever acts is off."""

    def __init__(self) -> None:
        self.true_ms = 1000.0
        self.offset_ms = 0.0

    def now_ms(self) -> float:
        return self.true_ms + self.offset_ms


class _Outbox:
    """Takes what is sent to peers."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    async def async_send(self, _peer_id: str, message: Message) -> None:
        self.sent.append(message)


class _Side:
    """One instance with a clock of its own."""

    def __init__(self, world: _World, name: str, offset_ms: float) -> None:
        self.world = world
        self.name = name
        self.offset_ms = offset_ms
        self.outbox = _Outbox()
        self.freshness = Freshness()
        self.act()
        self.beats = beats.Beats(
            beats.BeatParts(
                membership=Membership(_status(name)),
                peers=cast(Peers, self.outbox),
                freshness=self.freshness,
                directory=EngineDirectory(),
                spending=SpendingLog(8000),
                reports=SpendingReports(8000),
                version=lambda: VERSION,
                slowness=dict,
                learn_slowness=lambda _learned: None,
                on_engines=lambda: None,
                is_store_reached=lambda: True,
                is_first_start=False,
            ),
        )

    def act(self) -> None:
        """Be the one whose clock is read."""
        self.world.offset_ms = self.offset_ms

    def proved_ms(self) -> float:
        """Tell in true time up to when the version is held for the newest."""
        return self.freshness.confirmed_ms(VERSION) - self.offset_ms


def _status(name: str) -> InstanceStatus:
    anywhere = Address('127.0.0.1', 1)
    return InstanceStatus(name, anywhere, anywhere, 'z1', name, STATE_LIVE)


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> _World:
    """Give all that reads the clock a clock of the test's."""
    made = _World()
    for module in (attendance, beats, suspects):
        monkeypatch.setattr(module, 'now_ms', made.now_ms)
    return made


async def _async_exchange(asker: _Side, answerer: _Side, delay: Any) -> None:
    asker.act()
    asked = asker.beats._make(answerer.name)
    asker.world.true_ms += next(delay)
    answerer.act()
    answers: list[Beat] = []

    async def _async_deliver(message: Message) -> None:
        answers.append(cast(Beat, message))

    await answerer.beats.async_answer(asker.name, asked, _async_deliver)
    answerer.world.true_ms += next(delay)
    asker.act()
    await asker.beats.async_receive(answerer.name, answers[0])


def _exchange_all(world: _World, delays: list[int]) -> tuple[_Side, _Side]:
    reader = _Side(world, 'reader', 0)
    other = _Side(world, 'other', 1_000_000)
    reader.freshness.confirm(VERSION, world.true_ms)
    delay = iter(delays[: len(delays) // 2 * 2])

    async def _async_all() -> None:
        for _ in range(len(delays) // 2):
            await _async_exchange(other, reader, delay)

    curio.run(_async_all)
    return reader, other


def test_a_proof_reaches_the_other_in_one_exchange(world: _World) -> None:
    _, other = _exchange_all(world, [100, 100, 100, 100])
    assert other.proved_ms() > 0


def test_time_on_the_way_never_makes_a_proof_younger(world: _World) -> None:
    """A beat lies in a queue behind a partition for seconds. Were it counted
    from its arrival, keys taken away meanwhile would live on.
    """

    @given(DELAYS)
    def _check(delays: list[int]) -> None:
        world.true_ms = 1000.0
        reader, other = _exchange_all(world, delays)
        assert other.proved_ms() <= reader.proved_ms()

    _check()


def _beat_to(sender: _Side, receiver: _Side) -> None:
    """Have a beat arrive before its receiver has sent any."""
    sender.act()
    beat = sender.beats._make(receiver.name)
    receiver.act()

    async def _async_deliver(_message: Message) -> None:
        """Send nothing back."""

    curio.run(
        receiver.beats.async_answer,
        sender.name,
        beat,
        _async_deliver,
    )


def test_an_echo_of_an_earlier_boot_proves_nothing(world: _World) -> None:
    """Guards against proofs from the future after a machine has rebooted."""

    @given(st.integers(-50_000, 5_000_000))
    def _check(set_back_ms: int) -> None:
        world.true_ms = 1000.0
        reader, _ = _exchange_all(world, [100, 100])
        world.true_ms += 30_000
        rebooted = _Side(world, 'other', 1_000_000 - set_back_ms)
        world.true_ms += 1000
        _beat_to(reader, rebooted)
        assert rebooted.proved_ms() <= reader.proved_ms()

    _check()


def test_a_proof_from_the_future_is_not_passed_on(world: _World) -> None:
    """Guards against a wrong proof that makes a whole fleet trust old news."""
    reader, other = _exchange_all(world, [100, 100])
    reader.freshness.confirm(VERSION, world.true_ms + 4_000_000)
    _beat_to(reader, other)
    assert other.proved_ms() <= world.true_ms


def test_the_own_status_is_told_when_a_peer_lacks_it(world: _World) -> None:
    """Status objects made half of all bytes between instances."""
    side = _Side(world, 'one', 0)
    assert side.beats._make('peer').status
    assert not side.beats._make('peer').status
    assert side.beats._make('another').status
    side.beats.forget_told('peer')
    assert side.beats._make('peer').status


def test_a_status_that_changes_or_may_be_lost_is_told_again(
    world: _World,
) -> None:
    """A beat is lost with its connection, or an instance is about to stop.
    Peers that never hear of it send it work until it is gone.
    """
    side = _Side(world, 'one', 0)
    side.beats._make('peer')
    membership = side.beats._parts.membership
    membership.own = membership.own._replace(state=STATE_LEAVING)
    assert STATE_LEAVING in side.beats._make('peer').status
    world.true_ms += told.TELL_AGAIN_MS
    assert side.beats._make('peer').status


class _Links(_Outbox):
    """Takes what is sent, and knows no link until something was sent."""

    def __init__(self) -> None:
        super().__init__()
        self.asked: list[str] = []

    def has_link(self, peer_id: str) -> bool:
        return peer_id in self.asked

    async def async_send(self, peer_id: str, message: Message) -> None:
        await super().async_send(peer_id, message)
        self.asked.append(peer_id)

    async def async_drop(self, _peer_id: str) -> None:
        """Forget nothing."""


def _large_fleet(world: _World) -> list[tuple[_Side, _Links]]:
    names = [f'front-{number}' for number in range(FLEET)]
    fleet = []
    for name in names:
        side = _Side(world, name, 0)
        links = _Links()
        parts = side.beats._parts
        side.beats._parts = parts._replace(peers=cast(Peers, links))
        for other in set(names) - {name}:
            change = StoredObject(
                f'instances/{other}', 0, _status(other).to_text()
            )
            parts.membership.note_status(change)
        fleet.append((side, links))
    return fleet


def _most_asked(fleet: list[tuple[_Side, _Links]]) -> int:
    asked = Counter(peer for _, links in fleet for peer in set(links.asked))
    return max(asked.values(), default=0)


def test_a_large_fleet_does_not_greet_its_owner_all_at_once(
    world: _World,
) -> None:
    """Guards against an owner that is overrun in the second it takes over."""
    random.seed(1)
    fleet = _large_fleet(world)
    for side, _ in fleet:
        curio.run(side.beats.async_beat)
    assert 0 < _most_asked(fleet) <= FLEET * 2 / 3


def test_a_silent_owner_is_not_kept_down_by_its_own_fleet(
    world: _World,
) -> None:
    """Guards against probes of a whole fleet that outlast a short overload."""
    random.seed(1)
    fleet = _large_fleet(world)
    for side, _ in fleet:
        membership = side.beats._parts.membership
        for first in membership.ranked('fleet')[: attendance.INFORMED + 1]:
            membership.suspect(first)
        side.beats._targets()
    world.true_ms += beat_pace.PROBE_MS + 1
    probed = Counter(
        target
        for side, _ in fleet
        for target in side.beats._targets()
        if target in side.beats._parts.membership.suspects
    )
    assert sum(probed.values()) == 0
    assert side.beats._pace.beat_ms > beat_pace.BEAT_MS


@given(st.integers(1, 2000))
def test_an_instance_that_beats_counts_as_present(size: int) -> None:
    """Guards against a fleet so large that its members come and go."""
    pace = beat_pace.BeatPace(lambda: size)
    assert pace.present_ms > 2 * pace.beat_ms
    assert pace.present_ms >= pace.silence_ms


def test_a_small_fleet_tries_all_lost_peers_at_once() -> None:
    """Guards against two owners for seconds after a cut has healed."""
    lost = ['a', 'b', 'c', 'd']
    small = beat_pace.BeatPace(lambda: 13)
    assert set(small.probes(lost, beat_pace.PROBE_MS + 1)) == set(lost)
    assert not small.probes(lost, beat_pace.PROBE_MS + 2)
    large = beat_pace.BeatPace(lambda: FLEET)
    assert len(large.probes(lost, 1_000_000)) == 1


def test_an_answer_counts_the_fleet_a_few_times_only(
    world: _World,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against answers to beats that cost the square of the fleet."""
    side, _ = _large_fleet(world)[0]
    for number in range(1, FLEET):
        side.beats.attendance.hear(f'front-{number}', 1, is_usable=True)
    counted = []
    known = Membership.known

    def _known(membership: Membership) -> list[InstanceStatus]:
        counted.append(1)
        return known(membership)

    monkeypatch.setattr(Membership, 'known', _known)
    side.beats.attendance.present()
    side.beats.attendance.share()
    assert len(counted) < 10


def test_repeated_status_is_not_parsed_again(
    world: _World,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against parsing the status of the fleet once for each peer."""
    side, _ = _large_fleet(world)[0]
    texts = [_status(f'front-{each}').to_text() for each in range(1, FLEET)]
    parsed = []
    loads = json.loads

    def _loads(text: str) -> Any:
        parsed.append(text)
        return loads(text)

    monkeypatch.setattr(json, 'loads', _loads)
    for text in texts * attendance.INFORMED:
        side.beats._note_status(text)
    assert len(parsed) <= len(texts)


def test_reading_the_own_rank_does_not_sort_the_fleet(
    world: _World,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an idle cost that grows with the size of the fleet."""
    side, _ = _large_fleet(world)[0]
    sort_calls = []
    ranking = rendezvous.ranking

    def _ranking(*members: Any) -> list[str]:
        sort_calls.append(1)
        return ranking(*members)

    monkeypatch.setattr(membership_module, 'ranking', _ranking)
    for _ in range(40):
        side.beats.attendance.rank()
        side.beats._targets()
        assert side.beats._pace.beat_ms
    assert len(sort_calls) <= 1
