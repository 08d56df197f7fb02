"""Heartbeats and the freshness confirmations that they pass on."""

import json
import random
from collections import Counter
from typing import Any, cast

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.store_client import StoredObject
from hornbeamdeck.membership import (
    heartbeat_pace,
    heartbeats,
    liveness,
    rendezvous,
    sent_updates,
    suspected_instances,
)
from hornbeamdeck.membership import membership as membership_module
from hornbeamdeck.membership.membership import (
    STATE_DRAINING,
    STATE_LIVE,
    InstanceStatus,
    Membership,
)
from hornbeamdeck.membership.peers import Peers
from hornbeamdeck.ownership.spending import SpendingLog, SpendingReports
from hornbeamdeck.store.engine_directory import EngineDirectory
from hornbeamdeck.store.freshness import Freshness
from hornbeamdeck.wire import Beat, Message

VERSION = 7
FLEET = 126
DELAYS = st.lists(st.integers(0, 5000), min_size=2, max_size=12)


class _SimulatedTime:
    """True time, and the clock offset of the active instance."""

    def __init__(self) -> None:
        self.true_ms = 1000.0
        self.offset_ms = 0.0

    def now_ms(self) -> float:
        return self.true_ms + self.offset_ms


class _RecordingPeers:
    """Records messages sent to peers."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    async def async_send(self, _peer_id: str, message: Message) -> None:
        self.sent.append(message)


class _Node:
    """An instance with a clock of its own."""

    def __init__(
        self, clock: _SimulatedTime, name: str, offset_ms: float
    ) -> None:
        self.clock = clock
        self.name = name
        self.offset_ms = offset_ms
        self.outbox = _RecordingPeers()
        self.freshness = Freshness()
        self.activate()
        self.heartbeats = heartbeats.Heartbeats(
            heartbeats.HeartbeatDependencies(
                membership=Membership(_status(name)),
                peers=cast(Peers, self.outbox),
                freshness=self.freshness,
                directory=EngineDirectory(),
                spending=SpendingLog(8000),
                spending_reports=SpendingReports(8000),
                configuration_version=lambda: VERSION,
                engine_slowness=dict,
                record_slowness=lambda _reported: None,
                on_engines_changed=lambda: None,
                is_store_reached=lambda: True,
                is_first_start=False,
                rollouts=list,
                merge_rollouts=lambda _reported: None,
                engine_limits=list,
                apply_limits=lambda _limits, _peer_id: None,
            ),
        )

    def activate(self) -> None:
        """Make this instance's clock the current one."""
        self.clock.offset_ms = self.offset_ms

    def true_confirmed_ms(self) -> float:
        """Return in true time when the version was last confirmed."""
        return self.freshness.confirmed_ms(VERSION) - self.offset_ms


def _status(name: str) -> InstanceStatus:
    address = Address('127.0.0.1', 1)
    return InstanceStatus(name, address, address, 'z1', name, STATE_LIVE)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> _SimulatedTime:
    """Replace the clock of the modules under test."""
    simulated = _SimulatedTime()
    for module in (liveness, heartbeats, suspected_instances):
        monkeypatch.setattr(module, 'now_ms', simulated.now_ms)
    return simulated


async def _async_exchange(sender: _Node, receiver: _Node, delay: Any) -> None:
    sender.activate()
    request = sender.heartbeats._make_heartbeat(receiver.name)
    sender.clock.true_ms += next(delay)
    receiver.activate()
    responses: list[Beat] = []

    async def _async_deliver(message: Message) -> None:
        responses.append(cast(Beat, message))

    await receiver.heartbeats.async_handle_request(
        sender.name, request, _async_deliver
    )
    receiver.clock.true_ms += next(delay)
    sender.activate()
    await sender.heartbeats.async_handle_response(receiver.name, responses[0])


def _exchange_all(
    clock: _SimulatedTime, delays: list[int]
) -> tuple[_Node, _Node]:
    reader = _Node(clock, 'reader', 0)
    other = _Node(clock, 'other', 1_000_000)
    reader.freshness.confirm(VERSION, clock.true_ms)
    delay = iter(delays[: len(delays) // 2 * 2])

    async def _async_all() -> None:
        for _ in range(len(delays) // 2):
            await _async_exchange(other, reader, delay)

    curio.run(_async_all)
    return reader, other


def test_one_exchange_passes_a_confirmation_on(clock: _SimulatedTime) -> None:
    _, other = _exchange_all(clock, [100, 100, 100, 100])
    assert other.true_confirmed_ms() > 0


def test_transit_time_never_makes_a_confirmation_younger(
    clock: _SimulatedTime,
) -> None:
    """A heartbeat is delayed for seconds by a network partition. If
    confirmations counted from its arrival, keys revoked meanwhile would still
    be accepted.
    """

    @given(DELAYS)
    def _check(delays: list[int]) -> None:
        clock.true_ms = 1000.0
        reader, other = _exchange_all(clock, delays)
        assert other.true_confirmed_ms() <= reader.true_confirmed_ms()

    _check()


def _send_first_heartbeat(sender: _Node, receiver: _Node) -> None:
    """Deliver a heartbeat before its receiver has sent any."""
    sender.activate()
    heartbeat = sender.heartbeats._make_heartbeat(receiver.name)
    receiver.activate()

    async def _async_deliver(_message: Message) -> None:
        """Discard the response."""

    curio.run(
        receiver.heartbeats.async_handle_request,
        sender.name,
        heartbeat,
        _async_deliver,
    )


def test_echo_of_an_earlier_boot_confirms_nothing(
    clock: _SimulatedTime,
) -> None:
    """Guards against confirmations from the future after a machine reboots."""

    @given(st.integers(-50_000, 5_000_000))
    def _check(set_back_ms: int) -> None:
        clock.true_ms = 1000.0
        reader, _ = _exchange_all(clock, [100, 100])
        clock.true_ms += 30_000
        rebooted = _Node(clock, 'other', 1_000_000 - set_back_ms)
        clock.true_ms += 1000
        _send_first_heartbeat(reader, rebooted)
        assert rebooted.true_confirmed_ms() <= reader.true_confirmed_ms()

    _check()


def test_confirmation_from_the_future_is_not_passed_on(
    clock: _SimulatedTime,
) -> None:
    """Guards against a wrong confirmation that makes a whole fleet use an old
    configuration.
    """
    reader, other = _exchange_all(clock, [100, 100])
    reader.freshness.confirm(VERSION, clock.true_ms + 4_000_000)
    _send_first_heartbeat(reader, other)
    assert other.true_confirmed_ms() <= clock.true_ms


def test_own_status_is_sent_once_to_each_peer(clock: _SimulatedTime) -> None:
    """Status objects sent with every heartbeat made up half of all bytes
    between instances.
    """
    node = _Node(clock, 'one', 0)
    assert node.heartbeats._make_heartbeat('peer').status
    assert not node.heartbeats._make_heartbeat('peer').status
    assert node.heartbeats._make_heartbeat('another').status
    node.heartbeats.forget_sent('peer')
    assert node.heartbeats._make_heartbeat('peer').status


def test_changed_or_old_status_is_sent_again(
    clock: _SimulatedTime,
) -> None:
    """A heartbeat is lost with its connection, or an instance is about to
    stop. Peers that do not receive the new status send it work until it has
    stopped.
    """
    node = _Node(clock, 'one', 0)
    node.heartbeats._make_heartbeat('peer')
    membership = node.heartbeats._dependencies.membership
    membership.own_status = membership.own_status._replace(state=STATE_DRAINING)
    assert STATE_DRAINING in node.heartbeats._make_heartbeat('peer').status
    clock.true_ms += sent_updates.STATUS_RESEND_MS
    assert node.heartbeats._make_heartbeat('peer').status


class _ConnectedPeers(_RecordingPeers):
    """Records messages; the first message to a peer opens a connection."""

    def __init__(self) -> None:
        super().__init__()
        self.contacted: list[str] = []

    def has_connection(self, peer_id: str) -> bool:
        return peer_id in self.contacted

    async def async_send(self, peer_id: str, message: Message) -> None:
        await super().async_send(peer_id, message)
        self.contacted.append(peer_id)

    async def async_disconnect(self, _peer_id: str) -> None:
        """Keep the record of contacted peers."""


def _large_fleet(
    clock: _SimulatedTime,
) -> list[tuple[_Node, _ConnectedPeers]]:
    names = [f'front-{number}' for number in range(FLEET)]
    fleet = []
    for name in names:
        node = _Node(clock, name, 0)
        connections = _ConnectedPeers()
        dependencies = node.heartbeats._dependencies
        node.heartbeats._dependencies = dependencies._replace(
            peers=cast(Peers, connections)
        )
        for other in set(names) - {name}:
            change = StoredObject(
                f'instances/{other}', 0, _status(other).to_text()
            )
            dependencies.membership.apply_status(change)
        fleet.append((node, connections))
    return fleet


def _most_contacted(fleet: list[tuple[_Node, _ConnectedPeers]]) -> int:
    contacted = Counter(
        peer for _, connections in fleet for peer in set(connections.contacted)
    )
    return max(contacted.values(), default=0)


def test_large_fleet_spreads_first_heartbeats_to_its_owner(
    clock: _SimulatedTime,
) -> None:
    """Guards against overloading an instance when it becomes the owner."""
    random.seed(1)
    fleet = _large_fleet(clock)
    for node, _ in fleet:
        curio.run(node.heartbeats.async_send_heartbeats)
    assert 0 < _most_contacted(fleet) <= FLEET * 2 / 3


def test_probes_do_not_overload_a_silent_owner(
    clock: _SimulatedTime,
) -> None:
    """A short overload makes an owner silent. Probes by the whole fleet would
    make the overload last.
    """
    random.seed(1)
    fleet = _large_fleet(clock)
    for node, _ in fleet:
        membership = node.heartbeats._dependencies.membership
        for first in membership.ranked_ids('fleet')[
            : liveness.HEARTBEAT_RECEIVERS + 1
        ]:
            membership.suspect(first)
        node.heartbeats._targets()
    clock.true_ms += heartbeat_pace.MIN_PROBE_INTERVAL_MS + 1
    probed = Counter(
        target
        for node, _ in fleet
        for target in node.heartbeats._targets()
        if target in node.heartbeats._dependencies.membership.suspected
    )
    assert sum(probed.values()) == 0
    assert (
        node.heartbeats._pace.interval_ms
        > heartbeat_pace.MIN_HEARTBEAT_INTERVAL_MS
    )


@given(st.integers(1, 2000))
def test_liveness_timeout_exceeds_the_heartbeat_interval(size: int) -> None:
    """Heartbeats are rarer in a large fleet. With too short a timeout, live
    members would alternate between live and down.
    """
    pace = heartbeat_pace.HeartbeatPace(lambda: size)
    assert pace.liveness_timeout_ms > 2 * pace.interval_ms
    assert pace.liveness_timeout_ms >= pace.silence_timeout_ms


def test_small_fleet_probes_all_suspected_peers_at_once() -> None:
    """Guards against two owners for seconds after a partition has healed."""
    suspected = ['a', 'b', 'c', 'd']
    small = heartbeat_pace.HeartbeatPace(lambda: 13)
    assert set(
        small.select_probe_targets(
            suspected, heartbeat_pace.MIN_PROBE_INTERVAL_MS + 1
        )
    ) == set(suspected)
    assert not small.select_probe_targets(
        suspected, heartbeat_pace.MIN_PROBE_INTERVAL_MS + 2
    )
    large = heartbeat_pace.HeartbeatPace(lambda: FLEET)
    assert len(large.select_probe_targets(suspected, 1_000_000)) == 1


def test_liveness_lists_the_fleet_only_a_few_times(
    clock: _SimulatedTime,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against heartbeat responses whose cost grows with the square of
    the fleet.
    """
    node, _ = _large_fleet(clock)[0]
    for number in range(1, FLEET):
        node.heartbeats.liveness.record_heartbeat(
            f'front-{number}', 1, can_serve=True
        )
    calls = []
    known = Membership.known_peers

    def _known(membership: Membership) -> list[InstanceStatus]:
        calls.append(1)
        return known(membership)

    monkeypatch.setattr(Membership, 'known_peers', _known)
    node.heartbeats.liveness.live_ids()
    node.heartbeats.liveness.live_share()
    assert len(calls) < 10


def test_repeated_status_is_not_parsed_again(
    clock: _SimulatedTime,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against parsing all status objects again for each peer."""
    node, _ = _large_fleet(clock)[0]
    texts = [_status(f'front-{each}').to_text() for each in range(1, FLEET)]
    parsed = []
    loads = json.loads

    def _loads(text: str) -> Any:
        parsed.append(text)
        return loads(text)

    monkeypatch.setattr(json, 'loads', _loads)
    for text in texts * liveness.HEARTBEAT_RECEIVERS:
        node.heartbeats._apply_status(text)
    assert len(parsed) <= len(texts)


def test_own_rank_is_cached(
    clock: _SimulatedTime,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an idle cost that grows with the size of the fleet."""
    node, _ = _large_fleet(clock)[0]
    sort_calls = []
    ranking = rendezvous.ranking

    def _ranking(*members: Any) -> list[str]:
        sort_calls.append(1)
        return ranking(*members)

    monkeypatch.setattr(membership_module, 'ranking', _ranking)
    for _ in range(40):
        node.heartbeats.liveness.rank()
        node.heartbeats._targets()
        assert node.heartbeats._pace.interval_ms
    assert len(sort_calls) <= 1
