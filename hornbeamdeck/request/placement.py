"""Gets a grant and a connection to an upstream, before any byte is written."""

from http import HTTPStatus
from typing import Final, NamedTuple

import structlog
from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.errors import ConnectFailed
from hornbeamdeck.ownership.placement_policy import Policy
from hornbeamdeck.request.admission import Admission
from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.request.refusal import deadline_passed, spread_retry_ms
from hornbeamdeck.version.configuration import Configuration
from hornbeamdeck.wire import Enqueue, RunEnd

__all__ = ('Placement', 'async_acquire_upstream')

_LOGGER = structlog.get_logger(prefix='dispatch')

CONNECT_TIMEOUT_MS: Final = 1000
MAX_ATTEMPTS: Final = 5
FINGERPRINT_CHARS: Final = 16


class Placement(NamedTuple):
    """An open connection to the granted upstream.

    :param granted_ms: when the grant was received, on this process's clock.
    """

    upstream: str
    connection: ClientConnection
    granted_ms: float


async def async_acquire_upstream(
    admission: Admission,
    configuration: Configuration,
    policy: Policy,
) -> Result[Placement, NotRun]:
    """Get a grant and connect; after a failed connect use another upstream.

    Nothing is written here, so another attempt can't run a request twice.
    """
    excluded: list[str] = []
    for _ in range(MAX_ATTEMPTS):
        granted = await policy.acquire(_enqueue(admission, excluded))
        if isinstance(granted, Err):
            return granted
        name = granted.ok_value
        granted_ms = now_ms()
        connected = await _async_connect(admission, configuration, policy, name)
        if isinstance(connected, Ok):
            return Ok(Placement(name, connected.ok_value, granted_ms))
        excluded.append(name)
        if not admission.left_ms:
            return Err(deadline_passed(admission.fingerprint))
    return Err(
        NotRun(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'no_upstream',
            'no upstream accepted a connection',
            spread_retry_ms(admission.fingerprint),
        ),
    )


async def _async_connect(
    admission: Admission,
    configuration: Configuration,
    policy: Policy,
    name: str,
) -> Result[ClientConnection, None]:
    upstream = configuration.upstreams.get(name)
    end = RunEnd.CANCELLED
    opened: Result[ClientConnection, ConnectFailed] | None = None
    try:
        if upstream is not None:
            opened = await ClientConnection.async_open(
                upstream.address,
                timeout_ms=min(CONNECT_TIMEOUT_MS, max(admission.left_ms, 1)),
            )
        end = RunEnd.NOT_DISPATCHED
    finally:
        # This also runs if the caller disconnects during the connect. If the
        # slot were not released, the owner would count a run that never ends.
        if not isinstance(opened, Ok):
            await policy.on_end(admission.request_id, end, 0)
    if isinstance(opened, Ok):
        return opened
    _LOGGER.info(
        'connect failed',
        request_id=admission.request_id,
        upstream=name,
        cause=opened.err_value.cause if opened else 'not configured',
    )
    return Err(None)


def _enqueue(admission: Admission, excluded: list[str]) -> Enqueue:
    return Enqueue(
        request_id=admission.request_id,
        cell=admission.service.name,
        team=admission.team.name,
        tier_rank=admission.tier.rank,
        deadline_ms=admission.left_ms,
        prompt_tokens=admission.prompt_tokens,
        output_tokens=admission.output_tokens,
        excluded=list(excluded),
        fingerprint=admission.fingerprint[:FINGERPRINT_CHARS],
    )
