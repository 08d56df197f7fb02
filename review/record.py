"""What a case writes down: requests, answers and runs."""

import time
from pathlib import Path
from typing import Any, Final

FILE_NAME: Final = 'record.txt'


class Record:
    """Writes one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        """Replace the record of an earlier run."""
        self._lines = (folder / FILE_NAME).open('w')
        self._started_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def write(self, event: str, **fields: Any) -> None:
        """Write a line with the time since the start, in seconds."""
        pairs = ' '.join(f'{name}={text}' for name, text in fields.items())
        self._lines.write(f'{self.now_s:9.3f} {event} {pairs}\n')

    def close(self) -> None:
        """Write out what is left."""
        self._lines.close()
