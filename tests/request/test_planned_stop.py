"""What is begun while a planned stop runs, and what is not."""

import math
from typing import Any, cast

from hornbeamdeck.request.routed_admission import RoutedAdmission
from hornbeamdeck.request.routed_edge import Edge, _would_be_cut
from hornbeamdeck.version.routed import Route, RouteKind, ServiceShare

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
    max_dispatches=1,
    is_public=False,
    is_resumable=False,
)


def _is_begun(share: float, kind: RouteKind) -> bool:
    edge = cast(Edge, _Stopping(share))
    admission = RoutedAdmission(
        ask=cast(Any, None),
        route=ROUTE._replace(kind=kind),
        service='desk',
        team=None,
        arrived_ms=0,
        deadline_ms=math.inf,
    )
    return not _would_be_cut(edge, admission)


class _Stopping:
    """Stands for an edge in a planned stop."""

    def __init__(self, share: float) -> None:
        self._share = share

    def stop_share(self) -> float:
        return self._share


def test_no_stream_begins_that_the_stop_would_cut() -> None:
    """Some callers keep an address far longer than they are told, and come in
    the last seconds of a stop. A note begun then breaks in the middle; refused,
    its caller is served by another instance.
    """
    assert _is_begun(0, RouteKind.STREAMING)
    assert _is_begun(0.3, RouteKind.STREAMING)
    assert not _is_begun(0.55, RouteKind.STREAMING)


def test_short_answers_are_served_on_until_late_in_the_stop() -> None:
    assert _is_begun(0.55, RouteKind.NON_IDEMPOTENT)
    assert _is_begun(0.7, RouteKind.IDEMPOTENT)
    assert not _is_begun(0.95, RouteKind.NON_IDEMPOTENT)
