"""Log lines on which engine made which part of a stream."""

import structlog

from hornbeamdeck.clock import now_ms
from hornbeamdeck.observability.logs import age_for_log
from hornbeamdeck.request.engine_connection import EngineConnection

__all__ = ('log_stream_begun',)

_LOGGER = structlog.get_logger(prefix='request')


def log_stream_begun(
    engine_connection: EngineConnection, event_id: str, engines_age_ms: float
) -> None:
    """Log the first event that an engine has made for a request.

    A stream that ends with its instance leaves no other line here.

    :param event_id: id of that event.
    :param engines_age_ms: age of the list of engines.
    """
    grant = engine_connection.grant
    connection = engine_connection.connection
    if grant is None or connection is None:
        return
    _LOGGER.info(
        'stream begun',
        request_id=grant.request_id,
        engine=grant.upstream,
        engine_version=engine_connection.version,
        born_ms=grant.born_ms,
        first_event=event_id,
        connection_age_ms=int(now_ms() - connection.opened_ms),
        engines_age_ms=age_for_log(engines_age_ms),
    )
