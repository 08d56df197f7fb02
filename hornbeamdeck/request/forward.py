"""Sends a call with an issued key to the one process that may run it."""

from http import HTTPStatus
from typing import Final

from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_within
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.const import HEADER_DEADLINE
from hornbeamdeck.process.membership import InstanceStatus
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
    """Have the issuer answer; its whole response is the answer.

    Even a failed connect is `unknown`: an earlier sending of the same key may
    have run there.
    """
    opened = await ClientConnection.async_open(
        issuer.address,
        timeout_ms=min(CONNECT_TIMEOUT_MS, max(admission.left_ms, 1)),
    )
    if isinstance(opened, Err):
        return Err(issuer_gone())
    connection = opened.ok_value
    try:
        got = await async_within(
            admission.left_ms,
            connection.async_fetch(_forwarded(admission)),
        )
    except TaskTimeout:
        return Err(issuer_gone())
    finally:
        await connection.async_close()
    if isinstance(got, Err):
        return Err(issuer_gone())
    answer = got.ok_value
    return Ok(answer._replace(headers=without_hop_by_hop(answer.headers)))


def issuer_gone() -> Unknown:
    """Say that the only process that could tell can't be reached."""
    return Unknown(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'issuer_gone',
        'the instance that issued the key does not answer',
        RETRY_MS,
    )


def _forwarded(admission: Admission) -> HttpRequest:
    request = admission.request
    headers = {
        **without_hop_by_hop(request.headers),
        HEADER_FORWARDED: '1',
        HEADER_DEADLINE: str(admission.left_ms),
    }
    return request._replace(headers=headers)
