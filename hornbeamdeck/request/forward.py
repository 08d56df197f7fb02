"""Forwards a call with an issued key to the one process that may run it."""

from http import HTTPStatus
from typing import Final

from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.const import HEADER_DEADLINE
from hornbeamdeck.membership.membership import InstanceStatus
from hornbeamdeck.request.admission import Admission
from hornbeamdeck.request.outcome import Unknown
from hornbeamdeck.request.relay import without_hop_by_hop

__all__ = ('HEADER_FORWARDED', 'async_forward', 'issuer_gone')

HEADER_FORWARDED: Final = 'hornbeamdeck-forwarded'
CONNECT_TIMEOUT_MS: Final = 1000
RETRY_MS: Final = 1000


async def async_forward(
    admission: Admission,
    issuer: InstanceStatus,
) -> Result[HttpResponse, Unknown]:
    """Forward a call to the issuer of its key and return its response.

    Even a failed connect is reported as `unknown`, since an earlier call with
    the same key may have run there.
    """
    opened = await ClientConnection.async_open(
        issuer.address,
        timeout_ms=min(CONNECT_TIMEOUT_MS, max(admission.left_ms, 1)),
    )
    if isinstance(opened, Err):
        return Err(issuer_gone())
    connection = opened.ok_value
    try:
        fetched = await async_with_timeout(
            admission.left_ms,
            connection.async_fetch(_make_forwarded_request(admission)),
        )
    except TaskTimeout:
        return Err(issuer_gone())
    finally:
        await connection.async_close()
    if isinstance(fetched, Err):
        return Err(issuer_gone())
    response = fetched.ok_value
    return Ok(response._replace(headers=without_hop_by_hop(response.headers)))


def issuer_gone() -> Unknown:
    """Make the failure for a key whose issuer can't be reached.

    Only the issuer has a record of whether the call ran.
    """
    return Unknown(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'issuer_gone',
        'the instance that issued the key does not answer',
        RETRY_MS,
    )


def _make_forwarded_request(admission: Admission) -> HttpRequest:
    request = admission.request
    headers = {
        **without_hop_by_hop(request.headers),
        HEADER_FORWARDED: '1',
        HEADER_DEADLINE: str(admission.left_ms),
    }
    return request._replace(headers=headers)
