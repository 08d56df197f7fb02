"""Detects owners that do not respond while requests wait for them."""

import math
from collections.abc import Callable, Iterable
from typing import Final, TypeAlias

import structlog
from curio import Event, sleep

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.membership.peers import Peers
from hornbeamdeck.wire import Heartbeat

__all__ = ('OwnerWatch',)

_LOGGER = structlog.get_logger(prefix='owner watch')

PROBE_INTERVAL_MS: Final = 250
SILENCE_TIMEOUT_MS: Final = 1000

AwaitedOwners: TypeAlias = Callable[[], Iterable[str]]


class OwnerWatch:
    """Sends liveness probes to the owners that requests wait for.

    A frozen owner keeps its connections open, so that requests would wait for
    it until their deadlines. No probes are sent while no request waits.
    """

    def __init__(self, peers: Peers, awaited_owners: AwaitedOwners) -> None:
        """Start without owners to probe.

        :param awaited_owners: returns the owners that requests wait for.
        """
        self._peers = peers
        self._awaited_owners = awaited_owners
        self._unanswered_since_ms: dict[str, float] = {}
        self._last_message_ms: dict[str, float] = {}
        self._has_waiting = Event()

    async def async_start_probing(self) -> None:
        """Start probing, since a request waits now."""
        await self._has_waiting.set()

    def record_message(self, owner: str) -> None:
        """Record that an owner has sent a message."""
        self._last_message_ms[owner] = now_ms()
        self._unanswered_since_ms.pop(owner, None)

    async def async_run(self) -> None:
        """Probe owners periodically, forever."""
        while True:
            owners = set(self._awaited_owners())
            if not owners:
                self._has_waiting.clear()
                await self._has_waiting.wait()
            for former in self._unanswered_since_ms.keys() - owners:
                self._unanswered_since_ms.pop(former)
            for former in self._last_message_ms.keys() - owners:
                self._last_message_ms.pop(former)
            for owner in owners:
                await self._async_check(owner)
            await sleep(PROBE_INTERVAL_MS / MILLIS_PER_SECOND)

    async def _async_check(self, owner: str) -> None:
        now = now_ms()
        if (
            now - self._last_message_ms.get(owner, -math.inf)
            < PROBE_INTERVAL_MS
        ):
            # The owner's grants and heartbeats show that it is live. Responding
            # to probes from each instance of the fleet as well would cost it
            # more than sending the grants and heartbeats.
            return
        since_ms = self._unanswered_since_ms.setdefault(owner, now)
        if now - since_ms > SILENCE_TIMEOUT_MS:
            _LOGGER.warning('owner is silent', owner=owner)
            await self._peers.async_disconnect(owner)
            return
        probe = Heartbeat(sequence=int(since_ms), is_reply=False)
        await self._peers.async_send(owner, probe)
