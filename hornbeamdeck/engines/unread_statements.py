"""Headers in engines' responses that no code reads, or whose text can't be.

They are logged and counted, so that a statement that this version does not
know shows on the day that engines begin to make it.
"""

from collections import Counter
from typing import Final

import structlog
from result import Err

from hornbeamdeck.request.gateway_request import EngineStatement

__all__ = ('MAX_HEADER_NAMES', 'UnreadStatements')

_LOGGER = structlog.get_logger(prefix='engines')

# Names of unread headers that are counted one by one.
MAX_HEADER_NAMES: Final = 64
OTHER_HEADERS: Final = 'other'
MAX_UNREADABLE_TEXTS: Final = 1000
MAX_LOGGED_CHARS: Final = 64


class UnreadStatements:
    """Counts unread headers; logs each new name and unreadable text once."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.headers: Counter[str] = Counter()
        # The last text by engine and subject.
        self._unreadable: dict[tuple[str, str], str] = {}

    def record(self, engine: str, statement: EngineStatement) -> None:
        """Record what could not be read of one response."""
        for full_name in statement.unread_headers:
            self._count(engine, full_name[:MAX_LOGGED_CHARS])
        stated = {
            'limit': statement.request_limit,
            'rejection limit': statement.rejection_limit,
            'leaving': statement.leaving,
            'rest': statement.rest_ms,
        }
        for subject, value_or_text in stated.items():
            if isinstance(value_or_text, Err):
                self._log_unreadable(engine, subject, value_or_text.err_value)

    def _count(self, engine: str, name: str) -> None:
        is_new = name not in self.headers
        if is_new and len(self.headers) >= MAX_HEADER_NAMES:
            self.headers[OTHER_HEADERS] += 1
            return
        self.headers[name] += 1
        if is_new:
            _LOGGER.warning(
                'response header not read', engine=engine, header=name
            )

    def _log_unreadable(self, engine: str, subject: str, text: str) -> None:
        key = (engine, subject)
        if self._unreadable.pop(key, None) != text:
            _LOGGER.warning(
                'statement not readable',
                engine=engine,
                subject=subject,
                text=text[:MAX_LOGGED_CHARS],
            )
        self._unreadable[key] = text
        if len(self._unreadable) > MAX_UNREADABLE_TEXTS:
            self._unreadable.pop(next(iter(self._unreadable)))
