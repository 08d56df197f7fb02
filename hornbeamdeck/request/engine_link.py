"""The connection to an engine that one try of a request goes out on."""

from typing import Final

from result import Ok, Result

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.errors import ConnectFailed
from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.connection.kept import KeptConnections, kept_for_ms
from hornbeamdeck.wire import Grant, RunEnd

__all__ = ('EngineLink',)

# Engines are milliseconds away; a connection that takes longer has lost a
# packet or leads to a dead machine, and another engine is quicker.
CONNECT_TIMEOUT_MS: Final = 400
# A request that a machine does not even acknowledge: a kept connection to one
# that lost its power says nothing else. One lost packet is sent again within
# 200 ms, a second time after 400 more.
UNHEARD_MS: Final = 600
# After these a whole answer has been read.
_WHOLE: Final = frozenset((RunEnd.ANSWERED, RunEnd.ERRORED))


class EngineLink:
    """A connection that was kept, or a new one; kept again where it may be."""

    def __init__(self, kept: KeptConnections, *, may_repeat: bool) -> None:
        """Open nothing yet.

        :param may_repeat: whether the request may run twice; only then a kept
            connection will do, since one may die as the request is written.
        """
        self.connection: ClientConnection | None = None
        self._kept = kept
        self._may_repeat = may_repeat
        self._engine = ''
        self._was_kept = False
        self._idle_ms = 0.0

    async def async_open(
        self,
        grant: Grant,
    ) -> Result[ClientConnection, ConnectFailed]:
        """Take or make a connection to the granted engine."""
        self._engine = grant.upstream
        found = None
        if self._may_repeat:
            found = await self._kept.async_take(grant.upstream)
        self._was_kept = found is not None
        if found is not None:
            self.connection = found
            return Ok(found)
        # What may not repeat has nowhere else to go: its engine may still be
        # heard when a cut has healed.
        opened = await ClientConnection.async_open(
            Address.from_text(grant.address),
            timeout_ms=CONNECT_TIMEOUT_MS,
            unheard_ms=UNHEARD_MS if self._may_repeat else 0,
        )
        if isinstance(opened, Ok):
            self.connection = opened.ok_value
        return opened

    def note_head(self, head: HttpResponse) -> None:
        """Note how long the engine will keep the connection."""
        self._idle_ms = kept_for_ms(head.headers)

    async def async_close(self, end: RunEnd) -> None:
        """Be done with the connection.

        It is kept for another request where its answer is whole; else it is
        closed, and the engine drops a run that has not ended.

        :param end: how the run ended.
        """
        connection = self.connection
        self.connection = None
        if connection is None:
            return
        if end in _WHOLE:
            await self._kept.async_keep(self._engine, connection, self._idle_ms)
            return
        await connection.async_close()
        if self._was_kept and end == RunEnd.FAILED:
            await self._kept.async_drop(self._engine)
