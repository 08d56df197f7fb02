"""Tests of connections between instances."""

import pytest
from curio import run, socket, spawn

from hornbeamdeck.connection.errors import ConnectionBroken
from hornbeamdeck.connection.peer import PeerConnection, PeerIdentity
from hornbeamdeck.hybrid_clock import HybridClock
from hornbeamdeck.memory.budget import MemoryBudget, Purpose
from hornbeamdeck.wire import Heartbeat, Hello, Message, Refuse, Withdraw

LARGE = bytes(8_000_000)


def _identity(budget: MemoryBudget) -> PeerIdentity:
    return PeerIdentity(
        instance_id='front-1',
        fleet_secret='a-secret-for-the-tests',
        configuration_version=lambda: 1,
        count_bytes=lambda _direction, _count: None,
        clock=HybridClock(),
        outgoing=budget.open_account(Purpose.PEER_MESSAGES),
    )


def test_peer_that_does_not_read_is_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against messages that pile up for a peer that only sends."""
    monkeypatch.setattr('hornbeamdeck.connection.peer.WRITE_TIMEOUT_MS', 50)
    budget = MemoryBudget(1)
    identity = _identity(budget)

    async def _async_scenario() -> None:
        sock, _peer_sock = socket.socketpair()
        connection = PeerConnection(sock, identity)
        await connection.async_send(Hello(instance_id='front-1', nonce=LARGE))
        writer = await spawn(connection.async_write)
        assert not budget.held_bytes(Purpose.PEER_MESSAGES)
        await writer.join()
        assert (await connection.async_receive()).is_err()
        assert not budget.held_bytes(Purpose.PEER_MESSAGES)

    run(_async_scenario)


@pytest.mark.parametrize(
    'odd',
    [
        Heartbeat(sequence=1 << 70, is_reply=False),
        Withdraw(request_id='\ud800', cell='desk'),
        Refuse(request_id='r', reason=1, retry_after_ms=1 << 40),
    ],
)
def test_message_that_can_not_be_sent_keeps_the_connection(
    odd: Message,
) -> None:
    """Guards against one value that ends the requests of all others."""

    async def _async_scenario() -> None:
        sock, peer_sock = socket.socketpair()
        sender = PeerConnection(sock, _identity(MemoryBudget(1)))
        receiver = PeerConnection(peer_sock, _identity(MemoryBudget(1)))
        await sender.async_send(odd)
        await sender.async_send(Heartbeat(sequence=7, is_reply=False))
        writer = await spawn(sender.async_write)
        received = (await receiver.async_receive()).unwrap()
        assert received.heartbeat is not None
        assert received.heartbeat.sequence == 7
        await writer.cancel()

    run(_async_scenario)


@pytest.mark.parametrize('is_caller', [True, False])
def test_peer_that_ends_in_its_handshake_is_an_error(
    *, is_caller: bool
) -> None:
    """Guards against a request that ends with the handshake of a tunnel."""

    async def _async_scenario() -> None:
        sock, peer_sock = socket.socketpair()
        async with sock:
            await peer_sock.close()
            connection = PeerConnection(sock, _identity(MemoryBudget(1)))
            ended = await connection.async_handshake(is_caller=is_caller)
            assert isinstance(ended.unwrap_err(), ConnectionBroken)

    run(_async_scenario)
