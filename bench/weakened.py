"""An instance with one of its mechanisms taken out, for bench.faults alone.

    python -m bench.weakened claim serve --settings FILE

It shows that each count of the bench rises where its mechanism is missing.
"""

import sys
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from result import Err, Ok, Result

from hornbeamdeck import cli
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.engine_stream import EngineStream
from hornbeamdeck.connection.errors import ConnectionBroken
from hornbeamdeck.process import instance, scheduler
from hornbeamdeck.request import answer, claim, relay
from hornbeamdeck.request.once import Once
from hornbeamdeck.scheduling import suspicion


async def _async_nothing(*_args: Any) -> None:
    """Record and release nothing."""


async def _async_anyone(*_args: Any) -> Result[Once, Any]:
    return Ok(Once(record=_async_nothing, release=_async_nothing))


def _without_claim() -> None:
    """Let every call that must not repeat run at once."""
    _patch(claim.Claims, 'async_claim', _async_anyone)


def _without_isolation() -> None:
    """Hold no crash against any request."""
    _patch(suspicion.Suspicions, 'is_culprit', lambda *_args: False)


def _without_leaving() -> None:
    """Pay no heed to what the platform lists as leaving."""
    _patch(scheduler.Scheduler, 'note_leaving', lambda *_args: None)


def _without_drain() -> None:
    """Stop at once when told to."""

    async def _async_stop(self: Any) -> int:
        pending = int(self._pending())
        await self.async_kill()
        return pending

    _patch(instance.Instance, 'async_stop', _async_stop)


def _without_single_dispatch() -> None:
    """Dispatch again, in place of a resume, after a broken answer."""

    async def _async_no_resume(_self: Any) -> Result[None, ConnectionBroken]:
        return Err(ConnectionBroken('resume is taken out'))

    _patch(EngineStream, '_async_resume', _async_no_resume)
    relay_once = relay.async_relay

    async def _async_twice(
        admission: Any,
        placement: Any,
        policy: Any,
        caller: Any,
        *,
        limit_ms: int,
    ) -> Result[Any, Any]:
        first = await relay_once(
            admission,
            placement,
            policy,
            caller,
            limit_ms=limit_ms,
        )
        if not isinstance(first, Err):
            return first
        connected = await type(placement.connection).async_open(
            placement.connection._address,
            timeout_ms=1000,
        )
        if isinstance(connected, Err):
            return first
        again = placement._replace(connection=connected.ok_value)
        return await relay_once(
            admission,
            again,
            policy,
            caller,
            limit_ms=limit_ms,
        )

    _patch(answer, 'async_relay', _async_twice)


def _without_end_mark() -> None:
    """End every stream cleanly, whole or not."""

    async def _async_read_piece(self: Any) -> Any:
        piece = await original(self)
        return Ok(b'') if isinstance(piece, Err) else piece

    original = ClientConnection.async_read_piece
    _patch(ClientConnection, 'async_read_piece', _async_read_piece)
    _patch(relay, 'END_MARK', b'')


def _patch(owner: Any, name: str, replacement: Any) -> None:
    setattr(owner, name, replacement)


TakeOut = Callable[[], None]

MECHANISMS: Final[Mapping[str, TakeOut]] = MappingProxyType(
    {
        'claim': _without_claim,
        'drain': _without_drain,
        'end-mark': _without_end_mark,
        'isolation': _without_isolation,
        'leaving': _without_leaving,
        'single-dispatch': _without_single_dispatch,
    },
)


def main() -> None:
    """Take the mechanism out and run the command line."""
    MECHANISMS[sys.argv.pop(1)]()
    cli.main()


if __name__ == '__main__':
    main()
