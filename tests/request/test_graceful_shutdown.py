"""Which requests are started during a graceful shutdown."""

import math
from typing import Any, cast

from hornbeamdeck.clock import now_ms
from hornbeamdeck.request.gateway_admission import GatewayAdmission
from hornbeamdeck.request.gateway_context import GatewayContext
from hornbeamdeck.request.gateway_handler import _would_be_cut_off
from hornbeamdeck.scheduling.shutdown import Shutdown
from hornbeamdeck.version.gateway import Route, RouteKind, ServiceShare

GRACE_MS = 8000
ROUTE = Route(
    name='r',
    host='walks.example',
    path_prefix='/x/',
    kind=RouteKind.STREAMING,
    shares=(ServiceShare('desk', 1),),
    objective_ms=500,
    gap_ms=500,
    timeout_ms=12_000,
    priority=0,
    max_attempts=1,
    is_public=False,
    is_resumable=False,
)


def _is_started(share: float, kind: RouteKind) -> bool:
    shutdown = Shutdown()
    if share:
        now = now_ms() - share * GRACE_MS
        shutdown.request(now, grace_ms=GRACE_MS, ends_ms=now + GRACE_MS)
    context = cast(GatewayContext, _ContextInShutdown(shutdown))
    admission = GatewayAdmission(
        request=cast(Any, None),
        route=ROUTE._replace(kind=kind),
        service='desk',
        team=None,
        arrived_ms=0,
        deadline_ms=math.inf,
    )
    return not _would_be_cut_off(context, admission)


class _ContextInShutdown:
    """Stub of the gateway's context during a graceful shutdown."""

    def __init__(self, shutdown: Shutdown) -> None:
        self.shutdown = shutdown


def test_no_stream_starts_that_the_shutdown_would_cut_off() -> None:
    """Guards against a stream that the end of a shutdown would cut off. Some
    callers use an address far longer than its time to live and send requests
    in the last seconds of a shutdown. If they are refused, another instance
    serves them.
    """
    assert _is_started(0, RouteKind.STREAMING)
    assert _is_started(0.3, RouteKind.STREAMING)
    assert not _is_started(0.55, RouteKind.STREAMING)


def test_short_responses_are_served_until_late_in_the_shutdown() -> None:
    assert _is_started(0.55, RouteKind.NON_IDEMPOTENT)
    assert _is_started(0.7, RouteKind.IDEMPOTENT)
    assert not _is_started(0.95, RouteKind.NON_IDEMPOTENT)
