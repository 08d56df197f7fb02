"""The record of a script: what was sent, answered and run."""

import pathlib
import time

__all__ = ('Record',)


class Record:
    """Lines with the time since the start of the record."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Start an empty record in the folder of a case."""
        self.started_s = time.monotonic()
        self._path = folder / 'record.txt'
        self._path.write_text('')

    def note(self, text: str, at_s: float | None = None) -> None:
        """Add a line.

        :param at_s: when it happened; `None`: now.
        """
        happened_s = time.monotonic() if at_s is None else at_s
        elapsed_s = happened_s - self.started_s
        with self._path.open('a') as lines:
            lines.write(f'{elapsed_s:9.3f} s  {text}\n')
