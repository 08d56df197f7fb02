"""Tests of connections between instances."""

import pytest
from curio import run, socket, spawn

from hornbeamdeck.connection.peer import PeerConnection, PeerIdentity
from hornbeamdeck.hybrid_clock import HybridClock
from hornbeamdeck.memory.budget import MemoryBudget, Purpose
from hornbeamdeck.wire import Hello

LARGE = bytes(8_000_000)


def test_peer_that_does_not_read_is_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against messages that pile up for a peer that only sends."""
    monkeypatch.setattr('hornbeamdeck.connection.peer.WRITE_TIMEOUT_MS', 50)
    budget = MemoryBudget(1)
    identity = PeerIdentity(
        instance_id='front-1',
        fleet_secret='a-secret-for-the-tests',
        configuration_version=lambda: 1,
        count_bytes=lambda _direction, _count: None,
        clock=HybridClock(),
        outgoing=budget.open_account(Purpose.PEER_MESSAGES),
    )

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
