"""Connections to engines, and how long opening them may take."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

import pytest
from curio import run
from result import Err

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.errors import ConnectFailed
from hornbeamdeck.connection.peer import PeerIdentity
from hornbeamdeck.engines.engine_dialer import (
    DIAL_TIMEOUT_MS,
    EngineDialer,
    Unreached,
)
from hornbeamdeck.hybrid_clock import HybridClock
from hornbeamdeck.membership.membership import STATE_LIVE, InstanceStatus
from hornbeamdeck.wire import Grant, TunnelResult

ANSWER_MS = 10
MODULE = EngineDialer.__module__
NOWHERE = Address('127.0.0.1', 1)


def _status(name: str) -> InstanceStatus:
    return InstanceStatus(name, NOWHERE, NOWHERE, 'z1', name, STATE_LIVE)


def _make_dialer(others: int) -> EngineDialer:
    identity = PeerIdentity(
        'own', 'secret', lambda: 1, lambda *_bytes: None, HybridClock()
    )
    statuses = [_status(f'other-{number}') for number in range(others)]
    return EngineDialer(identity, 'z1', lambda: statuses)


@contextmanager
def _network(
    answer: TunnelResult, answer_ms: float = math.inf
) -> Iterator[list[float]]:
    """Let each connect use up its time limit; yield the time that passes.

    :param answer_ms: time that an instance takes to answer, within the limit.
    """
    clock_ms = [0.0]

    async def _async_open(_address: Address, **limits: Any) -> Any:
        clock_ms[0] += limits['timeout_ms']
        return Err(ConnectFailed('engine', 'no response', is_timeout=True))

    async def _async_open_tunnel(*_request: Any, timeout_ms: int) -> Any:
        clock_ms[0] += min(timeout_ms, answer_ms)
        return Err(answer)

    with (
        patch.object(ClientConnection, 'async_open', _async_open),
        patch(f'{MODULE}.async_open_tunnel', _async_open_tunnel),
        patch(f'{MODULE}.now_ms', lambda: clock_ms[0]),
    ):
        yield clock_ms


async def _async_dial(dialer: EngineDialer, engine: str) -> Unreached:
    grant = Grant('id-1', 'desk', engine, address=str(NOWHERE), born_ms=1)
    opened = await dialer.async_open(
        grant, is_repeatable=False, deadline_ms=1000
    )
    return opened.unwrap_err()


@pytest.mark.parametrize('answer', list(TunnelResult)[1:])
def test_dialing_ends_in_time(answer: TunnelResult) -> None:
    """Guards against a key that is revoked while a connection is opened."""
    with _network(answer) as clock_ms:
        run(_async_dial, _make_dialer(9), 'e1')
        assert 0 < clock_ms[0] <= DIAL_TIMEOUT_MS


@pytest.mark.parametrize(
    ('answer', 'others', 'is_confirmed'),
    [
        (TunnelResult.UNREACHED, 9, True),
        (TunnelResult.UNREACHED, 1, True),
        (TunnelResult.PARTITIONED, 9, False),
        (TunnelResult.BUSY, 9, False),
        (TunnelResult.BUSY, 0, True),
    ],
)
def test_partitioned_instance_needs_others_to_blame_an_engine(
    answer: TunnelResult, others: int, is_confirmed: bool
) -> None:
    """Guards against engines that are down for a partitioned instance only."""
    dialer = _make_dialer(others)
    with _network(answer, ANSWER_MS):
        first = run(_async_dial, dialer, 'e1')
        second = run(_async_dial, dialer, 'e2')
    assert first.is_confirmed
    assert second.is_confirmed == is_confirmed
