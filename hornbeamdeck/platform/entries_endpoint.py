"""Endpoint that returns the addresses of usable instances to callers."""

import json
import random
from http import HTTPStatus
from typing import Final

from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.const import ENCODING, MILLIS_PER_SECOND
from hornbeamdeck.membership.membership import InstanceStatus

__all__ = ('handle_entries_request',)

PATH_ENTRIES: Final = '/v1/resolve'
# Callers read at most this many addresses from one response.
MAX_ADDRESSES: Final = 64


def handle_entries_request(
    request: HttpRequest,
    usable: list[InstanceStatus],
    ttl_ms: int,
) -> HttpResponse:
    """Return the addresses that callers may connect to.

    Callers pick one of the addresses at random, so the response lists all
    usable instances. A choice by zone would load the two machines of a small
    zone with the callers of a large one.

    :param usable: the instances that callers may connect to.
    :param ttl_ms: how long callers may cache the response.
    """
    if request.path != PATH_ENTRIES:
        return HttpResponse(HTTPStatus.NOT_FOUND, {}, b'')
    if not usable:
        return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, {}, b'')
    chosen = random.sample(usable, min(len(usable), MAX_ADDRESSES))
    body = {
        'addresses': [str(status.address) for status in chosen],
        'ttl_s': ttl_ms / MILLIS_PER_SECOND,
    }
    headers = {'content-type': 'application/json'}
    encoded = json.dumps(body).encode(ENCODING)
    return HttpResponse(HTTPStatus.OK, headers, encoded)
