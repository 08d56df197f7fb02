"""Outcomes reported to callers: whether a request ran.

A refusal before the first byte reached an upstream has a different type than a
failure after it, so that code after that byte can't report "not run".
"""

import enum
import json
import math
from typing import Final, NamedTuple, TypeAlias

from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.const import (
    ENCODING,
    HEADER_OUTCOME,
    HEADER_REQUEST_ID,
    MILLIS_PER_SECOND,
)

__all__ = ('Failure', 'NotRun', 'Outcome', 'Unknown', 'to_response')

PROBLEM_TYPE: Final = 'application/problem+json'


class Outcome(enum.StrEnum):
    """The three outcomes that the interface for callers defines."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class NotRun(NamedTuple):
    """A refusal: no byte of the request reached an upstream.

    :param code: stable, machine-readable name of the reason.
    :param retry_after_ms: delay before a retry, milliseconds.
    """

    status: int
    code: str
    detail: str
    retry_after_ms: int | None = None

    @property
    def outcome(self) -> Outcome:
        """The outcome to report."""
        return Outcome.NOT_RUN


class Unknown(NamedTuple):
    """A failure after bytes were written: the request may have run."""

    status: int
    code: str
    detail: str
    retry_after_ms: int | None = None

    @property
    def outcome(self) -> Outcome:
        """The outcome to report."""
        return Outcome.UNKNOWN


Failure: TypeAlias = NotRun | Unknown


def to_response(failure: Failure, request_id: str) -> HttpResponse:
    """Make the problem+json response (RFC 9457) to a failed request."""
    problem = {
        'type': f'urn:hornbeamdeck:{failure.code}',
        'title': failure.code.replace('_', ' '),
        'status': failure.status,
        'detail': failure.detail,
        'outcome': failure.outcome,
        'request_id': request_id,
    }
    headers = {
        'content-type': PROBLEM_TYPE,
        HEADER_OUTCOME: failure.outcome.value,
        HEADER_REQUEST_ID: request_id,
    }
    if failure.retry_after_ms is not None:
        problem['retry_after_ms'] = failure.retry_after_ms
        seconds = math.ceil(failure.retry_after_ms / MILLIS_PER_SECOND)
        headers['retry-after'] = str(seconds)
    return HttpResponse(
        failure.status,
        headers,
        json.dumps(problem).encode(ENCODING),
    )
