"""Notices owners of cells that are silent while something waits for them."""

import math
from collections.abc import Callable, Iterable
from typing import Final, TypeAlias

import structlog
from curio import Event, sleep

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.process.peers import Peers
from hornbeamdeck.wire import Heartbeat

__all__ = ('OwnerWatch',)

_LOGGER = structlog.get_logger(prefix='owner watch')

HEARTBEAT_MS: Final = 250
SILENCE_MS: Final = 1000

AskedOwners: TypeAlias = Callable[[], Iterable[str]]


class OwnerWatch:
    """Sends heartbeats to the owners that are asked, and only to them.

    A frozen owner keeps its connections open; requests would wait for it
    until their deadlines. Nothing is sent while nothing waits.
    """

    def __init__(self, peers: Peers, asked_owners: AskedOwners) -> None:
        """Watch nobody yet.

        :param asked_owners: names the owners that something waits for.
        """
        self._peers = peers
        self._asked_owners = asked_owners
        self._unanswered_ms: dict[str, float] = {}
        self._heard_ms: dict[str, float] = {}
        self._has_waiting = Event()

    async def async_wake(self) -> None:
        """Begin to watch, since something waits now."""
        await self._has_waiting.set()

    def heard(self, owner: str) -> None:
        """Note that an owner has sent something."""
        self._heard_ms[owner] = now_ms()
        self._unanswered_ms.pop(owner, None)

    async def async_run(self) -> None:
        """Watch for ever."""
        while True:
            owners = set(self._asked_owners())
            if not owners:
                self._has_waiting.clear()
                await self._has_waiting.wait()
            for forgotten in self._unanswered_ms.keys() - owners:
                self._unanswered_ms.pop(forgotten)
            for forgotten in self._heard_ms.keys() - owners:
                self._heard_ms.pop(forgotten)
            for owner in owners:
                await self._async_check(owner)
            await sleep(HEARTBEAT_MS / MILLIS_PER_SECOND)

    async def _async_check(self, owner: str) -> None:
        now = now_ms()
        if now - self._heard_ms.get(owner, -math.inf) < HEARTBEAT_MS:
            # Its grants and beats show that it lives; an answer more from it
            # for each instance of the fleet would cost it more than they do.
            return
        since_ms = self._unanswered_ms.setdefault(owner, now)
        if now - since_ms > SILENCE_MS:
            _LOGGER.warning('owner is silent', owner=owner)
            await self._peers.async_drop(owner)
            return
        beat = Heartbeat(sequence=int(since_ms), is_reply=False)
        await self._peers.async_send(owner, beat)
