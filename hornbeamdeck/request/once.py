"""The right to run a call that must not repeat, whoever keeps the record."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, NamedTuple

from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.request.outcome import Unknown

__all__ = ('Once', 'Recorded', 'in_progress')

RETRY_IN_PROGRESS_MS: Final = 1000


class Once(NamedTuple):
    """The right itself.

    :param record: keeps the outcome for those that repeat the call.
    :param release: gives the right up; the call was surely not dispatched.
    """

    record: Callable[[HttpResponse], Awaitable[None]]
    release: Callable[[], Awaitable[None]]


class Recorded(NamedTuple):
    """The outcome of a first call, for those that repeat it."""

    response: HttpResponse


def in_progress() -> Unknown:
    """Say that an earlier call has no outcome yet, or none that is known."""
    return Unknown(
        HTTPStatus.CONFLICT,
        'in_progress',
        'an earlier call with this key has no recorded outcome',
        RETRY_IN_PROGRESS_MS,
    )
