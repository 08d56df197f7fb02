"""The era of a store, which it names in all its responses.

A store that is restored from an older copy has lost acknowledged writes and
gives out revisions again. Its era rises by one each time.
"""

from typing import Final

import structlog

from hornbeamdeck.connection.http import HttpResponse

__all__ = ('StoreEra',)

_LOGGER = structlog.get_logger(prefix='store')

# Eras are sent to peers as signed 64-bit integers.
MAX_DIGITS: Final = 18


class StoreEra:
    """The newest era that a response has named."""

    def __init__(self, header: str) -> None:
        """Start at era 0, which counts for a store that names none.

        :param header: name of the response header, in lower case.
        """
        self.current = 0
        self._header = header

    def of(self, response: HttpResponse) -> int:
        """Return the era of a response; 0 if it names none that is usable."""
        text = response.headers.get(self._header, '')
        is_era = text.isascii() and text.isdigit()
        return int(text) if is_era and len(text) <= MAX_DIGITS else 0

    def record(self, response: HttpResponse) -> int:
        """Record the era of a response.

        :returns: the era.
        """
        era = self.of(response)
        if era > self.current:
            if self.current:
                _LOGGER.warning(
                    'store restored', era=era, previous=self.current
                )
            self.current = era
        return era
