"""Log lines on which engine made which part of a stream."""

import structlog

from hornbeamdeck.clock import now_ms
from hornbeamdeck.observability.logs import age_for_log
from hornbeamdeck.wire import Grant

__all__ = ('log_stream_begun',)

_LOGGER = structlog.get_logger(prefix='request')


def log_stream_begun(
    grant: Grant,
    connected_ms: float,
    event_id: str,
    *,
    engines_age_ms: float,
    is_certain: bool,
) -> None:
    """Log the first event that an engine has made for a request.

    A stream that ends with its instance leaves no other line here.

    :param connected_ms: when the connection to the engine was established.
    :param event_id: id of that event.
    :param engines_age_ms: age of the list of engines.
    :param is_certain: whether the engine is known to run the version of the
        grant.
    """
    _LOGGER.info(
        'stream begun',
        request_id=grant.request_id,
        engine=grant.upstream,
        engine_version=grant.version or '',
        born_ms=grant.born_ms,
        first_event=event_id,
        connection_age_ms=int(now_ms() - connected_ms),
        engines_age_ms=age_for_log(engines_age_ms),
        is_certain=is_certain,
    )
