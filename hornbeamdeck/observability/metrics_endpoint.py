"""The metrics endpoint of a gateway process."""

import importlib
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.engines.engine_dialer import EngineDialer
from hornbeamdeck.engines.tunnel_server import TunnelServer
from hornbeamdeck.memory.spools import Spools
from hornbeamdeck.observability.gateway_metrics import (
    ConnectionCounts,
    EngineReachCounts,
    EngineStatementCounts,
    MemoryCounts,
)
from hornbeamdeck.process.gateway_components import GatewayComponents
from hornbeamdeck.process.gateway_endpoints import Endpoint
from hornbeamdeck.store.freshness_guard import FreshnessGuard

__all__ = ('make_metrics_endpoint',)

# Imported when metrics are first read; see `gateway_metrics`.
METRICS_EXPORT_MODULE: Final = f'{__package__}.gateway_metrics_export'
METRICS_CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'


def make_metrics_endpoint(
    components: GatewayComponents,
    freshness_guard: FreshnessGuard,
    dialer: EngineDialer,
    tunnels: TunnelServer,
    spools: Spools,
    count_connections: Callable[[], ConnectionCounts],
) -> Endpoint:
    """Make the endpoint, which collects from the components when it is read."""
    metrics = components.metrics

    def _respond(_request: HttpRequest) -> HttpResponse:
        metrics.record_confirmation_ages(
            freshness_guard.configuration_age_ms(),
            freshness_guard.engines_age_ms(),
        )
        metrics.store_era = components.store_era.current
        statements = components.grants.engine_statements
        metrics.engine_statements = EngineStatementCounts(
            limits=statements.limits(),
            rejection_limits=statements.rejection_limits(),
            leaving=statements.leaving(),
            rests_ms=statements.rests_ms(),
            unread_headers=statements.unread_headers,
        )
        metrics.engine_reach = EngineReachCounts(
            unreached=dialer.count_unreached(),
            opened_tunnels=dialer.tunnels_opened,
            open_tunnels=tunnels.open_tunnels,
        )
        metrics.memory = MemoryCounts.from_spools(spools)
        metrics.connections = count_connections()
        metrics.limit_counts = {}
        if components.is_owner:
            metrics.limit_counts = components.cells.limit_counts()
        module = importlib.import_module(METRICS_EXPORT_MODULE)
        body: bytes = module.render(metrics)
        headers = {'content-type': METRICS_CONTENT_TYPE}
        return HttpResponse(HTTPStatus.OK, headers, body)

    return _respond
