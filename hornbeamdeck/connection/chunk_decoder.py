"""Decodes bodies that are sent in chunks (RFC 9112, 7.1).

h11 makes an event for each chunk, which takes 25 µs. An engine that sends short
chunks without end would occupy the process for seconds before it has sent as
much as a response may have.
"""

import re
from typing import Final

from hornbeamdeck.connection.response_limits import (
    LimitExceeded,
    ResponseLimit,
)

__all__ = ('BadChunk', 'ChunkDecoder')

LINE_END: Final = b'\r\n'
HEX_BASE: Final = 16
# A size has at most 16 digits, and extensions are in practice not used.
MAX_SIZE_LINE_BYTES: Final = 4096
# The end of the previous chunk, and the size of the next one.
_SIZE_LINE: Final = re.compile(
    rb'\r\n([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n'
)


class BadChunk(Exception):
    """The body is not a sequence of chunks."""


class ChunkDecoder:
    """Returns the content of chunks as their bytes arrive."""

    def __init__(self, max_framing_bytes: int) -> None:
        """Start before the first chunk.

        :param max_framing_bytes: of size lines and trailers, since the start
            or the last call of `reset_framing`.
        """
        self.has_ended = False
        # Bytes that follow the end of the body.
        self.rest = b''
        self._max_framing_bytes = max_framing_bytes
        self._framing_bytes = 0
        self._chunk_left = 0
        self._is_in_trailers = False
        # Each size line follows a line end, also the first one.
        self._pending = LINE_END

    def reset_framing(self) -> None:
        """Count the framing from here on."""
        self._framing_bytes = 0

    def decode(self, received: bytes) -> bytes:
        """Decode the next bytes and return the content that they complete.

        :raises BadChunk: if they are no chunks.
        :raises LimitExceeded: if there is too much framing.
        """
        encoded = self._pending + received
        parts: list[bytes] = []
        start = self._take_content(encoded, 0, parts)
        while not self._is_in_trailers:
            size_line = _SIZE_LINE.match(encoded, start)
            if size_line is None:
                _check_partial_line(encoded, start)
                break
            self._record_framing(size_line.end() - start)
            self._chunk_left = int(size_line.group(1), HEX_BASE)
            self._is_in_trailers = not self._chunk_left
            start = self._take_content(encoded, size_line.end(), parts)
        self._pending = encoded[start:]
        if self._is_in_trailers:
            self._read_trailers()
        return b''.join(parts)

    def _take_content(
        self, encoded: bytes, start: int, parts: list[bytes]
    ) -> int:
        """Take what there is of the current chunk; return where it ends."""
        if not self._chunk_left:
            return start
        part = encoded[start : start + self._chunk_left]
        self._chunk_left -= len(part)
        parts.append(part)
        return start + len(part)

    def _read_trailers(self) -> None:
        # The line end before the first trailer is that of the last size line.
        section = LINE_END + self._pending
        end = section.find(LINE_END + LINE_END)
        self.has_ended = end >= 0
        if self.has_ended:
            self.rest = section[end + len(LINE_END + LINE_END) :]
            self._pending = b''
        elif len(section) > MAX_SIZE_LINE_BYTES:
            raise BadChunk('too long trailers')

    def _record_framing(self, count: int) -> None:
        self._framing_bytes += count
        if self._framing_bytes > self._max_framing_bytes:
            raise LimitExceeded(ResponseLimit.FRAMING, self._max_framing_bytes)


def _check_partial_line(encoded: bytes, start: int) -> None:
    """Check that a size line may still be completed.

    :raises BadChunk: if it is not one, however it goes on.
    """
    size_line_start = start + len(LINE_END)
    partial = encoded[start:size_line_start]
    if not LINE_END.startswith(partial):
        raise BadChunk('no line end after a chunk')
    if encoded.find(b'\n', size_line_start) >= 0:
        raise BadChunk('no size of a chunk')
    if len(encoded) - start > MAX_SIZE_LINE_BYTES:
        raise BadChunk('too long size of a chunk')
