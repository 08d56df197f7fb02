"""Structured logs: one JSON object per line, by default on standard error."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any, Final, Protocol, TextIO, cast

import structlog

__all__ = ('age_for_log', 'setup_logs')

MAX_LIBRARY_CHARS: Final = 500
# Logged as the age of a freshness confirmation that was never received.
MAX_LOGGED_AGE_MS: Final = 1_000_000

_LEVELS: Final = logging.getLevelNamesMapping()
_LOGGER = structlog.get_logger(prefix='library')


class LineStream(Protocol):
    """The stream interface that log output requires."""

    def write(self, text: str) -> int:
        """Write text."""

    def flush(self) -> None:
        """Flush buffered text."""


class _LibraryHandler(logging.Handler):
    """Writes what libraries log to the structured log.

    Without a handler, Python writes it to standard error. A process whose
    standard error is not read would stop there.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write one message."""
        _LOGGER.error(
            'message of a library',
            library=record.name,
            text=record.getMessage()[:MAX_LIBRARY_CHARS],
            exc_info=record.exc_info,
        )


def _add_prefix(
    _logger: object,
    _method: str,
    event: MutableMapping[str, Any],
) -> MutableMapping[str, Any]:
    event['event'] = f'{event.pop("prefix", "process")}: {event["event"]}'
    return event


def setup_logs(
    *,
    level: str,
    instance_id: str,
    stream: LineStream | None = None,
) -> None:
    """Log messages of this level and above, each with the instance's id.

    :param stream: the output stream; standard error by default.
    """
    # Under load, curio warns of each operation that ends after its time limit.
    library = logging.getLogger('curio')
    library.setLevel(logging.ERROR)
    library.handlers = [_LibraryHandler()]
    library.propagate = False
    structlog.contextvars.bind_contextvars(instance_id=instance_id)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            _add_prefix,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            _LEVELS[level.upper()],
        ),
        logger_factory=structlog.PrintLoggerFactory(
            cast(TextIO, stream or sys.stderr),
        ),
        cache_logger_on_first_use=True,
    )


def age_for_log(age_ms: float) -> int:
    """Return the age of a freshness confirmation as a log field."""
    return int(min(age_ms, MAX_LOGGED_AGE_MS))
