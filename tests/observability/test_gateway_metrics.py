"""Tests of the metrics export of a gateway process."""

import pytest

from hornbeamdeck.observability.gateway_metrics import (
    GatewayMetrics,
    RolloutCounts,
)
from hornbeamdeck.observability.gateway_metrics_export import (
    make_registry,
    render,
)


def test_recorded_counts_are_exported() -> None:
    """Guards against exported metrics that differ from the recorded counts."""
    metrics = GatewayMetrics()
    metrics.count_request('desk', 0, 'answered', 300)
    metrics.count_request('desk', 0, 'answered', 30_000)
    metrics.record_first_token(120)
    metrics.count_refusal('no_route')
    metrics.count_store_call('engines')
    metrics.count_peer_bytes('sent', 17)
    metrics.count_dropped_log_line()
    metrics.count_returned_grant('leaving')
    metrics.record_confirmation_ages(500, 250)
    metrics.in_flight = 3
    metrics.configuration_version = 7
    metrics.rollouts['desk'] = RolloutCounts(
        1, {'new': 9, 'old': 90}, {'new': 2, 'old': 1}
    )
    sample = make_registry(metrics).get_sample_value
    priority = {'priority': '0'}
    ended = {'service': 'desk', 'code': 'answered', **priority}
    assert sample('hornbeamdeck_routed_requests_total', ended) == 2
    total = 'hornbeamdeck_routed_total_seconds'
    assert sample(f'{total}_bucket', {'le': '0.5', **priority}) == 1
    assert sample(f'{total}_bucket', {'le': '+Inf', **priority}) == 2
    assert sample(f'{total}_count', priority) == 2
    assert sample(f'{total}_sum', priority) == pytest.approx(30.3)
    assert sample('hornbeamdeck_first_token_seconds_count') == 1
    refused = {'code': 'no_route'}
    assert sample('hornbeamdeck_edge_refusals_total', refused) == 1
    assert sample('hornbeamdeck_store_calls_total', {'role': 'engines'}) == 1
    sent = {'direction': 'sent'}
    assert sample('hornbeamdeck_front_peer_bytes_total', sent) == 17
    assert sample('hornbeamdeck_log_lines_dropped_total') == 1
    returned = {'cause': 'leaving'}
    assert sample('hornbeamdeck_returned_grants_total', returned) == 1
    assert sample('hornbeamdeck_proof_age_seconds', {'held': 'engines'}) == 0.25
    assert sample('hornbeamdeck_routed_in_flight') == 3
    assert sample('hornbeamdeck_routed_configuration_version') == 7
    assert sample('hornbeamdeck_rollout_phase', {'service': 'desk'}) == 1
    new = {'service': 'desk', 'version': 'new'}
    assert sample('hornbeamdeck_rollout_requests', new) == 9
    assert sample('hornbeamdeck_rollout_bad_answers', new) == 2
    assert b'hornbeamdeck_routed_in_flight 3.0' in render(metrics)
