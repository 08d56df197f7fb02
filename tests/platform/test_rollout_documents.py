"""Tests of parsing orders for roll-outs and of writing their status."""

from typing import Any

import pytest

from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.platform.rollout_documents import (
    parse_rollout,
    rollout_status,
)
from hornbeamdeck.scheduling.rollout import RolloutOrder, RolloutPhase

SPEC = {'service': 'desk', 'target': 'v2', 'duration_s': 12.5}
METADATA = {'name': 'desk', 'revision': 20, 'created': 9}


def _stored(**changes: Any) -> dict[str, Any]:
    return {'metadata': METADATA, 'spec': SPEC, 'status': None, **changes}


def test_order_without_status_is_read() -> None:
    service, stored = parse_rollout(_stored(), 3)
    assert service == 'desk'
    assert stored is not None
    assert stored.order == RolloutOrder('desk', 'v2', 12_500, 9)
    assert stored.revision == StoreRevision(3, 20)
    assert stored.phase is None


@pytest.mark.parametrize(
    ('state', 'phase'),
    [
        ('running', RolloutPhase.CANARY),
        ('completed', RolloutPhase.COMPLETED),
        ('rolled_back', RolloutPhase.ROLLED_BACK),
    ],
)
def test_status_is_read_back_as_written(
    state: str, phase: RolloutPhase
) -> None:
    stored = parse_rollout(_stored(), 3).stored
    assert stored is not None
    status = rollout_status(stored._replace(phase=phase, started_unix_ms=7))
    assert status['state'] == state
    assert status['target'] == 'v2'
    again = parse_rollout(_stored(status=status), 3).stored
    assert again == stored._replace(phase=phase, started_unix_ms=7)


def test_promoting_is_still_running() -> None:
    stored = parse_rollout(_stored(), 3).stored
    assert stored is not None
    promoting = stored._replace(phase=RolloutPhase.PROMOTING)
    assert rollout_status(promoting)['state'] == 'running'


def test_status_of_an_earlier_target_does_not_count() -> None:
    """Guards against a new order that is taken for one that has ended."""
    status = {'state': 'completed', 'target': 'v1'}
    stored = parse_rollout(_stored(status=status), 3).stored
    assert stored is not None
    assert stored.phase is None


@pytest.mark.parametrize(
    'spec',
    [
        None,
        'bytes',
        {},
        {**SPEC, 'target': 2},
        {**SPEC, 'target': ''},
        {**SPEC, 'duration_s': 0},
        {**SPEC, 'duration_s': -3},
        {**SPEC, 'duration_s': 1e12},
        {**SPEC, 'duration_s': 'soon'},
        {**SPEC, 'service': 'counter'},
    ],
)
def test_invalid_order_is_reported_as_unreadable(spec: Any) -> None:
    """Guards against an order that stops the reading of all others."""
    stored = parse_rollout(_stored(spec=spec), 3).stored
    assert stored is not None
    assert stored.order is None


@pytest.mark.parametrize('status', [{}, 'running', {'state': 'paused'}, 7])
def test_invalid_status_counts_as_none(status: Any) -> None:
    stored = parse_rollout(_stored(status=status), 3).stored
    assert stored is not None
    assert stored.phase is None
