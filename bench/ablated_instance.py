"""An instance with one mechanism disabled, used by bench.faults only.

    python -m bench.ablated_instance claim serve --settings FILE

It shows that each count of violations in bench.faults rises when the mechanism
that prevents them is missing.
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
from hornbeamdeck.ownership import scheduler
from hornbeamdeck.process import instance
from hornbeamdeck.request import admitted_request, claim, relay
from hornbeamdeck.request.execution_right import Once
from hornbeamdeck.scheduling import upstream_crash_tracker


async def _async_do_nothing(*_args: Any) -> None:
    """Do nothing, in place of recording or releasing a claim."""


async def _async_skip_claim(*_args: Any) -> Result[Once, Any]:
    return Ok(Once(record=_async_do_nothing, release=_async_do_nothing))


def _without_claim() -> None:
    """Run every non-idempotent call without claiming it first."""
    _patch(claim.Claims, 'async_claim', _async_skip_claim)


def _without_isolation() -> None:
    """Never treat a request as the cause of a crash."""
    _patch(
        upstream_crash_tracker.UpstreamCrashTracker,
        'is_confirmed_poison',
        lambda *_args: False,
    )


def _without_engine_draining() -> None:
    """Ignore which engines the platform lists as draining."""
    _patch(scheduler.Scheduler, 'update_draining', lambda *_args: None)


def _without_graceful_shutdown() -> None:
    """Stop an instance without waiting for its pending requests."""

    async def _async_stop(self: Any) -> int:
        pending = int(self._pending())
        await self.async_kill()
        return pending

    _patch(instance.Instance, 'async_stop', _async_stop)


def _without_single_dispatch() -> None:
    """Send a request again after a broken response instead of resuming it."""

    async def _async_fail_to_resume(
        _self: Any,
    ) -> Result[None, ConnectionBroken]:
        return Err(
            ConnectionBroken('resuming is disabled by bench.ablated_instance')
        )

    _patch(EngineStream, '_async_resume', _async_fail_to_resume)
    original_relay = relay.async_relay

    async def _async_relay_twice(
        admission: Any,
        placement: Any,
        policy: Any,
        caller: Any,
        *,
        limit_ms: int,
    ) -> Result[Any, Any]:
        first_result = await original_relay(
            admission,
            placement,
            policy,
            caller,
            limit_ms=limit_ms,
        )
        if not isinstance(first_result, Err):
            return first_result
        connected = await type(placement.connection).async_open(
            placement.connection._address,
            timeout_ms=1000,
        )
        if isinstance(connected, Err):
            return first_result
        second_placement = placement._replace(connection=connected.ok_value)
        return await original_relay(
            admission,
            second_placement,
            policy,
            caller,
            limit_ms=limit_ms,
        )

    _patch(admitted_request, 'async_relay', _async_relay_twice)


def _without_end_mark() -> None:
    """End every stream without an error, even an incomplete one."""

    async def _async_read_chunk(self: Any) -> Any:
        chunk = await original_read_chunk(self)
        return Ok(b'') if isinstance(chunk, Err) else chunk

    original_read_chunk = ClientConnection.async_read_chunk
    _patch(ClientConnection, 'async_read_chunk', _async_read_chunk)
    _patch(relay, 'END_MARK', b'')


def _patch(owner: Any, name: str, replacement: Any) -> None:
    setattr(owner, name, replacement)


Removal = Callable[[], None]

MECHANISMS: Final[Mapping[str, Removal]] = MappingProxyType(
    {
        'claim': _without_claim,
        'drain': _without_graceful_shutdown,
        'end-mark': _without_end_mark,
        'isolation': _without_isolation,
        'leaving': _without_engine_draining,
        'single-dispatch': _without_single_dispatch,
    },
)


def main() -> None:
    """Disable the mechanism named by the first argument; run the CLI."""
    MECHANISMS[sys.argv.pop(1)]()
    cli.main()


if __name__ == '__main__':
    main()
