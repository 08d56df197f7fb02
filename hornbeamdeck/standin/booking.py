"""Booking service stand-in that counts its runs by idempotency key."""

import json
from http import HTTPStatus
from typing import Final

from curio import sleep

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.listener import Listener
from hornbeamdeck.const import (
    HEADER_IDEMPOTENCY_KEY,
    MILLIS_PER_SECOND,
)
from hornbeamdeck.standin.http_server import (
    async_setup_http_server,
    json_response,
    make_handler,
)

__all__ = ('BookingStandin', 'async_setup_booking')

DEFAULT_SERVICE_MS: Final = 20


class BookingStandin:
    """A service that makes a booking for every request.

    It doesn't deduplicate: a repeated request makes a second booking.
    """

    def __init__(self, *, service_ms: float) -> None:
        """Create a service without bookings.

        :param service_ms: duration of one booking, milliseconds.
        """
        self.runs: dict[str, int] = {}
        self._service_ms = service_ms

    async def async_route(self, request: HttpRequest) -> HttpResponse:
        """Look up the free seats or make a booking."""
        if request.path == '/standin/records':
            return json_response(HTTPStatus.OK, {'runs': self.runs})
        if request.method != 'POST':
            return json_response(HTTPStatus.OK, {'seats': 7})
        key = request.headers.get(HEADER_IDEMPOTENCY_KEY, 'none')
        self.runs[key] = self.runs.get(key, 0) + 1
        await sleep(self._service_ms / MILLIS_PER_SECOND)
        booked = json.loads(request.body or b'{}')
        return json_response(HTTPStatus.CREATED, {'booked': booked, 'key': key})


async def async_setup_booking(
    address: Address,
    *,
    service_ms: float = DEFAULT_SERVICE_MS,
) -> tuple[BookingStandin, Listener]:
    """Start a booking service that listens on an address.

    :param service_ms: duration of one booking, milliseconds.
    :returns: the booking service and its listener.
    """
    booking = BookingStandin(service_ms=service_ms)
    request_handler = make_handler(booking.async_route)
    return booking, await async_setup_http_server(address, request_handler)
