"""Statements of engines in responses that came through another instance.

An engine knows the relay as the sender of a request. What it asks of the sender
binds the relay, which passes bytes on without reading them.
"""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

from result import Ok

from hornbeamdeck.engines.engine_statements import EngineStatements
from hornbeamdeck.membership.peers import Peers
from hornbeamdeck.request.gateway_request import EngineStatement
from hornbeamdeck.wire import Grant, RelayedStatement

__all__ = ('async_apply_relayed', 'make_statement_recorder')

RecordStatement: TypeAlias = Callable[
    [Grant, EngineStatement, str], Awaitable[None]
]


def make_statement_recorder(
    statements: EngineStatements, peers: Peers
) -> RecordStatement:
    """Make the function that records what a response states.

    What binds the sender is recorded by this process too, although another one
    has sent the request: it may be the sender of the next one.
    """

    async def _async_record(
        grant: Grant, statement: EngineStatement, relay: str
    ) -> None:
        await statements.async_record(grant, statement)
        # A statement that can't be read is handled as by `EngineStatements`.
        is_leaving = statement.leaving.unwrap_or(True)
        rest_ms = int(statement.rest_ms.unwrap_or(0.0))
        if relay and (is_leaving or rest_ms):
            message = RelayedStatement(
                cell=grant.cell,
                upstream=grant.upstream,
                born_ms=grant.born_ms or 0,
                is_leaving=is_leaving,
                rest_ms=rest_ms,
            )
            await peers.async_send(relay, message)

    return _async_record


async def async_apply_relayed(
    statements: EngineStatements, message: RelayedStatement
) -> None:
    """Record a statement in a response that this process has passed on."""
    grant = Grant(
        request_id='',
        cell=message.cell,
        upstream=message.upstream,
        born_ms=message.born_ms,
    )
    statement = EngineStatement(
        leaving=Ok(message.is_leaving),
        rest_ms=Ok(float(message.rest_ms)),
    )
    await statements.async_record(grant, statement)
