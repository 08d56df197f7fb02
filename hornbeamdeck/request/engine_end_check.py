"""Finds out whether an engine has ended after a run on it broke.

Other requests would show it only by chance: an engine that has just failed gets
none while others are free.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import structlog
from curio import sleep, spawn
from result import Ok

from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.wire import Grant, UpstreamEnd

__all__ = ('EngineEndCheck',)

_LOGGER = structlog.get_logger(prefix='engines')

# When to connect, after a run broke. An engine that ends may close its
# connections a moment before the address that it listens at.
CHECK_DELAYS_MS: Final = (0, 200)
CONNECT_TIMEOUT_MS: Final = 150


class EngineEndCheck:
    """Connects to engines whose runs broke; reports those that refuse."""

    def __init__(
        self, report: Callable[[UpstreamEnd], Awaitable[None]]
    ) -> None:
        """Start without checks.

        :param report: gets the engines that have ended.
        """
        self._report = report
        self._engines_in_check: set[str] = set()

    async def async_start(self, grant: Grant) -> None:
        """Check the engine of a run that broke, in the background."""
        if grant.upstream not in self._engines_in_check:
            self._engines_in_check.add(grant.upstream)
            await spawn(self._async_check, grant, daemon=True)

    async def _async_check(self, grant: Grant) -> None:
        try:
            has_ended = await _async_has_ended(grant.address)
        finally:
            self._engines_in_check.discard(grant.upstream)
        _LOGGER.info(
            'engine checked after a broken run',
            engine=grant.upstream,
            request_id=grant.request_id,
            has_ended=has_ended,
        )
        if has_ended:
            await self._report(
                UpstreamEnd(
                    cell=grant.cell,
                    upstream=grant.upstream,
                    born_ms=grant.born_ms or 0,
                )
            )


async def _async_has_ended(address: str) -> bool:
    """Return whether an engine refuses connections.

    One that does not respond at all is not known to have ended: the network
    path to it may be down.
    """
    for delay_ms in CHECK_DELAYS_MS:
        await sleep(delay_ms / MILLIS_PER_SECOND)
        connected = await async_connect(
            Address.from_text(address), timeout_ms=CONNECT_TIMEOUT_MS
        )
        if isinstance(connected, Ok):
            await connected.ok_value.close()
        elif not connected.err_value.is_timeout:
            return True
    return False
