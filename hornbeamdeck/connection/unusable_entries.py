"""Reports entries of the store that can't be used."""

from collections.abc import Callable
from typing import Any, Final

import structlog

__all__ = ('UnusableEntries',)

_LOGGER = structlog.get_logger(prefix='store')

MAX_KNOWN: Final = 1024
MAX_LOGGED_CHARS: Final = 200


class UnusableEntries:
    """Logs and counts each entry that can't be used once for each revision."""

    def __init__(self, count: Callable[[str], None] | None = None) -> None:
        """Start without entries.

        :param count: called with the kind of each entry; `None`: they are
            only logged.
        """
        self._count = count
        # Last revision by kind and name, as logged.
        self._known: dict[tuple[str, str], str] = {}

    def record(self, kind: str, stored: Any, cause: str) -> None:
        """Record that an object can't be used.

        :param stored: as it was read, whatever it is.
        """
        metadata = stored.get('metadata') if isinstance(stored, dict) else None
        fields = metadata if isinstance(metadata, dict) else {}
        name = ascii(fields.get('name'))[:MAX_LOGGED_CHARS]
        revision = ascii(fields.get('revision'))[:MAX_LOGGED_CHARS]
        if self._known.get((kind, name)) == revision:
            return
        self._known.pop((kind, name), None)
        self._known[kind, name] = revision
        while len(self._known) > MAX_KNOWN:
            self._known.pop(next(iter(self._known)))
        if self._count is not None:
            self._count(kind)
        _LOGGER.warning(
            'entry ignored',
            kind=kind,
            entry=name,
            revision=revision,
            cause=ascii(cause)[:MAX_LOGGED_CHARS],
        )
