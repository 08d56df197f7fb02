"""Connections to engines that are kept open from one request to the next."""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import Headers
from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('KeptConnections', 'kept_for_ms')

# Part of the time that an engine says it keeps an idle connection open; the
# rest is for a request that is on its way when that time is over.
KEPT_SHARE: Final = 0.8
# Kept at one engine by all instances together: an engine accepts a few hundred
# connections (208 at least on users' sheets) and resets what is beyond; two
# thirds are left for new ones.
KEPT_AT_ENGINE: Final = 64
KEEP_ALIVE: Final = 'keep-alive'
TIMEOUT_PREFIX: Final = 'timeout='


class _Kept(NamedTuple):
    connection: ClientConnection
    until_ms: float


class KeptConnections:
    """Idle connections by engine, the last used first.

    What goes wrong: an idle connection may die unseen, or a late answer to an
    earlier request may lie in it. So only what may run twice goes out on one,
    one that shows any byte or its end is not used, and a failure on one costs
    all others to its engine.

    Opening a connection takes a round trip and a millisecond of the engine. Of
    3,000 requests in a day of high load 1,300 open one, 3,000 without this.
    """

    def __init__(self, count_instances: Callable[[], int]) -> None:
        """Keep none yet.

        :param count_instances: tells how many instances share the engines.
        """
        self._count_instances = count_instances
        self._kept: dict[str, deque[_Kept]] = {}

    def __len__(self) -> int:
        """Count the connections kept."""
        return sum(map(len, self._kept.values()))

    async def async_take(self, engine: str) -> ClientConnection | None:
        """Give a connection to an engine that can be used, if there is one."""
        kept = self._kept.get(engine)
        while kept:
            found = kept.pop()
            if found.until_ms > now_ms() and found.connection.is_quiet():
                return found.connection
            await found.connection.async_close()
        return None

    async def async_keep(
        self,
        engine: str,
        connection: ClientConnection,
        idle_ms: float,
    ) -> None:
        """Keep a connection on which an answer has ended, or close it.

        :param idle_ms: how long it may be used from now.
        """
        await self._async_close_old()
        kept = self._kept.setdefault(engine, deque())
        most = KEPT_AT_ENGINE // max(self._count_instances(), 1)
        if idle_ms <= 0 or len(kept) >= most or not connection.may_reuse:
            await connection.async_close()
            return
        kept.append(_Kept(connection, now_ms() + idle_ms))

    async def async_drop(self, engine: str) -> None:
        """Close all connections to an engine on which one has failed."""
        for kept in self._kept.pop(engine, ()):
            await kept.connection.async_close()

    async def _async_close_old(self) -> None:
        for engine, kept in tuple(self._kept.items()):
            while kept and kept[0].until_ms < now_ms():
                await kept.popleft().connection.async_close()
            if not kept:
                self._kept.pop(engine, None)


def kept_for_ms(headers: Headers) -> float:
    """Tell how long a connection may be kept after an answer; 0: not at all.

    :param headers: of the answer. An engine that announces no time may close
        at any moment.
    """
    for field in headers.get(KEEP_ALIVE, '').split(','):
        _, found, seconds = field.strip().partition(TIMEOUT_PREFIX)
        if found and seconds.isdigit():
            return int(seconds) * MILLIS_PER_SECOND * KEPT_SHARE
    return 0
