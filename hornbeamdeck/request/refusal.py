"""Makes the refusals, all issued before any byte reached an upstream."""

import zlib
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from hornbeamdeck.const import ENCODING
from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.wire import RefusalReason, Refuse

__all__ = (
    'bad_request',
    'deadline_passed',
    'engines_unreachable',
    'forbidden',
    'id_in_use',
    'instance_stops',
    'refusal_from_owner',
    'platform_down',
    'spread_retry_ms',
    'too_many_connections',
    'unauthorized',
    'unknown_service',
    'unprocessable',
)

# Callers that an ingress refuses itself have no place in an owner's queue. If
# all were told one time, requests that are refused at one moment would return
# at one moment.
MIN_RETRY_MS: Final = 500
MAX_RETRY_MS: Final = 2000
# Short, because a caller that comes back is likely to reach another instance.
UNREACHABLE_RETRY_MS: Final = 50
# Short, because another instance is available at once.
STOPPING_RETRY_MS: Final = 20
MAX_SERVICE_NAME_CHARS: Final = 64

_CODES: Final = MappingProxyType(
    {
        RefusalReason.DEADLINE: (
            'deadline_unmeetable',
            'the deadline can no longer be met',
        ),
        RefusalReason.OVERLOADED: ('overloaded', 'too much work waits'),
        RefusalReason.NO_UPSTREAM: ('no_upstream', 'no upstream takes work'),
        RefusalReason.UNKNOWN_CELL: (
            'no_upstream',
            'the owner lacks the service',
        ),
        RefusalReason.TOO_MANY_TRIES: (
            'too_many_tries',
            'the budget of second tries is spent',
        ),
        RefusalReason.UNKNOWN_STREAM: (
            'unknown_stream',
            'no instance knows which version began the stream',
        ),
        RefusalReason.TEAM_LIMIT: ('team_limit', 'the team is over its limit'),
    }
)


def spread_retry_ms(fingerprint: str) -> int:
    """Return the time after which a caller is to return, in milliseconds.

    :param fingerprint: the times are spread evenly by it.
    """
    spread = zlib.crc32(fingerprint.encode(ENCODING))
    return MIN_RETRY_MS + spread % (MAX_RETRY_MS - MIN_RETRY_MS)


def refusal_from_owner(refusal: Refuse) -> NotRun:
    """Convert an owner's refusal to the one that the caller gets."""
    if refusal.reason == RefusalReason.CULPRIT:
        return unprocessable('upstreams have died of this request')
    code, detail = _CODES[RefusalReason(refusal.reason)]
    status = HTTPStatus.SERVICE_UNAVAILABLE
    if refusal.reason == RefusalReason.TEAM_LIMIT:
        status = HTTPStatus.TOO_MANY_REQUESTS
    return NotRun(
        status,
        code,
        detail,
        refusal.retry_after_ms or None,
    )


def deadline_passed(fingerprint: str) -> NotRun:
    """Make the refusal for a request without a grant before its deadline."""
    return NotRun(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'deadline_passed',
        'the deadline passed before an upstream was free',
        spread_retry_ms(fingerprint),
    )


def engines_unreachable() -> NotRun:
    """Make the refusal for a request whose instance reaches no engine."""
    return NotRun(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'engines_unreachable',
        'this instance reaches no engine, and no other that it asked does',
        UNREACHABLE_RETRY_MS,
    )


def instance_stops() -> NotRun:
    """Make the refusal for a request that an instance gets as it stops."""
    return NotRun(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'leaving',
        'this instance is about to stop; another one serves',
        STOPPING_RETRY_MS,
    )


def too_many_connections(fingerprint: str) -> NotRun:
    """Make the refusal for a request beyond the connections of callers."""
    return NotRun(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'too_many_connections',
        'this instance has no more connections for callers',
        spread_retry_ms(fingerprint),
    )


def id_in_use(fingerprint: str) -> NotRun:
    """Make the refusal for a request whose id another one has here now."""
    return NotRun(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'id_in_use',
        'another request with this id is in progress',
        spread_retry_ms(fingerprint),
    )


def platform_down(fingerprint: str) -> NotRun:
    """Make the refusal for a call whose claim could not be created."""
    return NotRun(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'platform_down',
        'the call may run once only, and that could not be recorded',
        spread_retry_ms(fingerprint),
    )


def bad_request(detail: str, code: str = 'bad_request') -> NotRun:
    """Make the refusal for an invalid request."""
    return NotRun(HTTPStatus.BAD_REQUEST, code, detail)


def unauthorized() -> NotRun:
    """Make the refusal for a key that belongs to no team."""
    return NotRun(
        HTTPStatus.UNAUTHORIZED,
        'unauthorized',
        'a valid bearer key is needed',
    )


def forbidden(detail: str) -> NotRun:
    """Make the refusal for what the team is not permitted to use."""
    return NotRun(HTTPStatus.FORBIDDEN, 'forbidden', detail)


def unknown_service(name: str) -> NotRun:
    """Make the refusal for a service that does not exist."""
    return NotRun(
        HTTPStatus.NOT_FOUND,
        'unknown_service',
        f'there is no service {name[:MAX_SERVICE_NAME_CHARS]!r}',
    )


def unprocessable(detail: str) -> NotRun:
    """Make the refusal for a valid request that will never be run."""
    return NotRun(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'unprocessable',
        detail,
    )
