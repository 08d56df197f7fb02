"""Answers the platform's callers that ask where to connect."""

import json
import random
from http import HTTPStatus
from typing import Final

from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.const import ENCODING, MILLIS_PER_SECOND
from hornbeamdeck.process.membership import InstanceStatus

__all__ = ('entries_page',)

PATH_ENTRIES: Final = '/v1/resolve'
# Callers take so many addresses from one answer.
MAX_ADDRESSES: Final = 64


def entries_page(
    request: HttpRequest,
    usable: list[InstanceStatus],
    ttl_ms: int,
) -> HttpResponse:
    """Name the addresses to use.

    Callers pick one of them at random, so all usable instances are named:
    any choice by zone would load the two machines of a small zone with the
    callers of a large one.
    """
    if request.path != PATH_ENTRIES:
        return HttpResponse(HTTPStatus.NOT_FOUND, {}, b'')
    if not usable:
        return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, {}, b'')
    chosen = random.sample(usable, min(len(usable), MAX_ADDRESSES))
    answer = {
        'addresses': [str(status.address) for status in chosen],
        'ttl_s': ttl_ms / MILLIS_PER_SECOND,
    }
    headers = {'content-type': 'application/json'}
    return HttpResponse(
        HTTPStatus.OK,
        headers,
        json.dumps(answer).encode(ENCODING),
    )
