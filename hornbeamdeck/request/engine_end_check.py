"""Reports engines that have ended after a run on them broke.

Other requests would show it only by chance: an engine that has just failed gets
none while others are free. A check connects and reads nothing from the engine.
Connecting has a time limit, and so has the answer of another instance that
checks.
"""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import structlog
from curio import spawn

from hornbeamdeck.wire import Grant, UpstreamEnd

__all__ = ('EngineEndCheck',)

_LOGGER = structlog.get_logger(prefix='engines')

HasEnded: TypeAlias = Callable[[Grant, str], Awaitable[bool]]


class EngineEndCheck:
    """Checks the engines whose runs broke, each once at a time."""

    def __init__(
        self,
        has_ended: HasEnded,
        report: Callable[[UpstreamEnd], Awaitable[None]],
    ) -> None:
        """Start without checks.

        :param has_ended: takes a grant and the instance that its request went
            through, empty: none.
        :param report: gets the engines that have ended.
        """
        self._has_ended = has_ended
        self._report = report
        self._engines_in_check: set[str] = set()

    async def async_start(self, grant: Grant, relay: str) -> None:
        """Check the engine of a run that broke, in the background.

        :param relay: the instance that the request went through; empty: none.
        """
        if grant.upstream not in self._engines_in_check:
            self._engines_in_check.add(grant.upstream)
            await spawn(self._async_check, grant, relay, daemon=True)

    async def _async_check(self, grant: Grant, relay: str) -> None:
        try:
            has_ended = await self._has_ended(grant, relay)
        finally:
            self._engines_in_check.discard(grant.upstream)
        _LOGGER.info(
            'engine checked after a broken run',
            engine=grant.upstream,
            request_id=grant.request_id,
            relay=relay,
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
