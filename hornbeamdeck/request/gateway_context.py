"""What the answers to gateway requests depend on."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from typing import NamedTuple, TypeAlias

from result import Result

from hornbeamdeck.connection.connection_limit import ConnectionLimit
from hornbeamdeck.connection.connection_pool import ConnectionPool
from hornbeamdeck.engines.engine_dialer import EngineDialer
from hornbeamdeck.engines.incarnation_check import IncarnationCheck
from hornbeamdeck.engines.send_guard import SendGuard
from hornbeamdeck.memory.spools import Spools
from hornbeamdeck.observability.gateway_metrics import GatewayMetrics
from hornbeamdeck.ownership.spending import ReturnTokens
from hornbeamdeck.request.gateway_request import (
    Dialect,
    EngineStatement,
    RunSummary,
)
from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.scheduling.shutdown import Shutdown
from hornbeamdeck.store.freshness_guard import FreshnessGuard
from hornbeamdeck.version.gateway import GatewayConfiguration
from hornbeamdeck.wire import Enqueue, Grant, Progress, RunEnd

__all__ = ('GatewayContext',)

_Granted: TypeAlias = Result[Grant, NotRun]
Acquire: TypeAlias = Callable[[Enqueue], Awaitable[_Granted]]


class GatewayContext(NamedTuple):
    """Dependencies for answering gateway requests.

    :param freshness_guard: freshness of the configuration and of the list of
        engines.
    :param send_guard: decides whether an engine that was granted may get a
        request.
    :param connection_pool: pool of idle connections to engines.
    :param engine_dialer: opens new connections to engines.
    :param acquire_grant: waits for a grant.
    :param incarnation_check: finds out whether an engine runs the incarnation
        that was granted.
    :param report_progress: reports a run's first token to the owner, once more
        when it is known whether its engine runs the incarnation that was
        granted.
    :param release_grant: gets a request's id, how its run ended and its
        summary.
    :param record_statement: gets a grant, what the head of its response states
        about the engine, and the instance that the request was relayed by;
        empty: none.
    :param check_engine: finds out whether the engine of a grant has ended, in
        the background; gets the grant and the instance that its request was
        relayed by; empty: none.
    :param is_running: finds out whether the engine of a grant still runs.
    :param record_granted_tokens: gets a team's name and the number of tokens
        granted to it; returns what takes them back.
    :param spools: hold what callers have not read yet.
    :param zone: this instance's availability zone.
    :param shutdown: the graceful shutdown of this process, if it has begun.
    :param caller_connections: the connections that callers have open.
    :param track_in_flight: counts a request while it is being answered.
    """

    dialect: Dialect
    configuration: Callable[[], GatewayConfiguration]
    freshness_guard: FreshnessGuard
    send_guard: SendGuard
    connection_pool: ConnectionPool
    engine_dialer: EngineDialer
    acquire_grant: Acquire
    incarnation_check: IncarnationCheck
    report_progress: Callable[[Progress], Awaitable[None]]
    release_grant: Callable[[str, RunEnd, RunSummary], Awaitable[None]]
    record_statement: Callable[[Grant, EngineStatement, str], Awaitable[None]]
    check_engine: Callable[[Grant, str], Awaitable[None]]
    is_running: Callable[[Grant], Awaitable[bool]]
    record_granted_tokens: Callable[[str, int], ReturnTokens]
    metrics: GatewayMetrics
    spools: Spools
    zone: str
    shutdown: Shutdown
    caller_connections: ConnectionLimit
    track_in_flight: Callable[[], AbstractContextManager[None]]
