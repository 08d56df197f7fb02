"""The responses to requests that are not read to their end."""

from http import HTTPStatus
from typing import Final

from hornbeamdeck.connection.errors import BadRequest

__all__ = ('no_room', 'request_too_slow', 'slow_request')

# Bodies are dropped within seconds; another instance may have room at once.
NO_ROOM_RETRY_MS: Final = 500


def request_too_slow() -> BadRequest:
    """Refuse a request that has not ended in its time."""
    return BadRequest(HTTPStatus.REQUEST_TIMEOUT, 'the request came too slowly')


def no_room() -> BadRequest:
    """Refuse a request whose bytes have no room."""
    return BadRequest(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'this instance has no memory for the request now',
        'no_memory',
        NO_ROOM_RETRY_MS,
    )


def slow_request() -> BadRequest:
    """Refuse a request that makes room for others."""
    return BadRequest(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'the request came slowly, and others needed its place',
        'slow_request',
        NO_ROOM_RETRY_MS,
    )
