"""Parses and writes the platform's orders for roll-outs."""

from types import MappingProxyType
from typing import Any, Final

import structlog
import voluptuous as vol

from hornbeamdeck.connection.json_validators import finite, plain_name
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.platform.wire_names import (
    FIELD_NAME,
    FIELD_SERVICE,
    ROLLOUT_COMPLETED,
    ROLLOUT_ROLLED_BACK,
    ROLLOUT_RUNNING,
)
from hornbeamdeck.rollout.store_interface import RolloutChange, StoredRollout
from hornbeamdeck.scheduling.rollout import RolloutOrder, RolloutPhase

__all__ = ('parse_rollout', 'rollout_status')

_LOGGER = structlog.get_logger(prefix='documents')

MAX_DURATION_S: Final = 604_800
_FIELD_STATE: Final = 'state'
_FIELD_TARGET: Final = 'target'
# Not the platform's: tells an instance that takes over after the loss of the
# whole fleet how much of the requested time is left.
_FIELD_STARTED: Final = 'started_unix_ms'

_ORDER: Final = vol.Schema(
    {
        vol.Required(FIELD_SERVICE): plain_name,
        vol.Required(_FIELD_TARGET): plain_name,
        vol.Required('duration_s'): vol.All(
            vol.Any(int, float),
            vol.Range(min=0, max=MAX_DURATION_S, min_included=False),
            finite,
        ),
    },
    extra=vol.REMOVE_EXTRA,
)
_STATUS: Final = vol.Schema(
    {
        vol.Required(_FIELD_STATE): vol.In(
            (ROLLOUT_RUNNING, ROLLOUT_COMPLETED, ROLLOUT_ROLLED_BACK)
        ),
        vol.Required(_FIELD_TARGET): str,
        vol.Optional(_FIELD_STARTED, default=0): vol.All(int, vol.Range(min=0)),
    },
    extra=vol.REMOVE_EXTRA,
)
_PHASES: Final = MappingProxyType(
    {
        ROLLOUT_RUNNING: RolloutPhase.CANARY,
        ROLLOUT_COMPLETED: RolloutPhase.COMPLETED,
        ROLLOUT_ROLLED_BACK: RolloutPhase.ROLLED_BACK,
    },
)
_STATES: Final = MappingProxyType(
    {
        RolloutPhase.CANARY: ROLLOUT_RUNNING,
        RolloutPhase.PROMOTING: ROLLOUT_RUNNING,
        RolloutPhase.COMPLETED: ROLLOUT_COMPLETED,
        RolloutPhase.ROLLED_BACK: ROLLOUT_ROLLED_BACK,
    },
)


def parse_rollout(stored: Any, era: int) -> RolloutChange:
    """Parse an order and its status as they are in the store.

    :param era: of the store when it was read.
    """
    metadata = stored['metadata']
    service = str(metadata[FIELD_NAME])
    order = _parse_order(service, stored.get('spec'), metadata)
    phase: RolloutPhase | None = None
    started_unix_ms = 0
    if order is not None:
        phase, started_unix_ms = _parse_status(order, stored.get('status'))
    return RolloutChange(
        service,
        StoredRollout(
            StoreRevision(era, metadata['revision']),
            order,
            phase,
            started_unix_ms,
        ),
    )


def rollout_status(rollout: StoredRollout) -> dict[str, Any]:
    """Make the status of an order that can be read.

    :raises ValueError: if the order or its phase is missing.
    """
    if rollout.order is None or rollout.phase is None:
        raise ValueError('no status for an unreadable order')
    return {
        _FIELD_STATE: _STATES[rollout.phase],
        _FIELD_TARGET: rollout.order.target,
        _FIELD_STARTED: rollout.started_unix_ms,
    }


def _parse_order(service: str, spec: Any, metadata: Any) -> RolloutOrder | None:
    try:
        order = _ORDER(spec)
    except vol.Invalid as error:
        _LOGGER.info('order ignored', service=service, cause=str(error))
        return None
    if order[FIELD_SERVICE] != service:
        _LOGGER.info('order ignored', service=service, cause='other service')
        return None
    created = metadata.get('created', 0)
    return RolloutOrder(
        service=service,
        target=order[_FIELD_TARGET],
        duration_ms=int(order['duration_s'] * MILLIS_PER_SECOND),
        order_id=created if isinstance(created, int) else 0,
    )


def _parse_status(
    order: RolloutOrder, raw: Any
) -> tuple[RolloutPhase | None, int]:
    """Parse a status; one of another version is that of an earlier order."""
    try:
        status = _STATUS(raw)
    except vol.Invalid:
        return None, 0
    if status[_FIELD_TARGET] != order.target:
        return None, 0
    return _PHASES[status[_FIELD_STATE]], status[_FIELD_STARTED]
