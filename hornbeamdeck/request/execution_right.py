"""The right to run a non-idempotent call, from a claim or an issued key."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, NamedTuple

from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.request.outcome import Unknown

__all__ = ('Once', 'Recorded', 'in_progress')

RETRY_IN_PROGRESS_MS: Final = 1000


class Once(NamedTuple):
    """The right to run a call, for at-most-once execution.

    :param record: stores the outcome for later requests with the same key.
    :param release: gives the right back; allowed only if the call was
        certainly not sent to an upstream.
    """

    record: Callable[[HttpResponse], Awaitable[None]]
    release: Callable[[], Awaitable[None]]


class Recorded(NamedTuple):
    """The recorded outcome of an earlier request with the same key."""

    response: HttpResponse


def in_progress() -> Unknown:
    """Make the failure for an earlier call without a recorded outcome."""
    return Unknown(
        HTTPStatus.CONFLICT,
        'in_progress',
        'an earlier call with this key has no recorded outcome',
        RETRY_IN_PROGRESS_MS,
    )
