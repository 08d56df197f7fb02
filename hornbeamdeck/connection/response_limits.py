"""Limits on what the server of a connection may send, and for how long."""

import enum
from typing import Final, NamedTuple, Self

from hornbeamdeck.connection.errors import ConnectionBroken
from hornbeamdeck.const import MEBIBYTE

__all__ = ('LimitExceeded', 'ResponseLimit', 'ResponseLimits')

MAX_HEAD_BYTES: Final = 65_536
MAX_BODY_BYTES: Final = 4 * MEBIBYTE
# A body of the largest size in chunks of 200 bytes has this much framing. Each
# chunk takes about 3 µs, and more than 20,000 would hold up other calls.
MAX_FRAMING_BYTES: Final = 131_072
MAX_INTERIM_RESPONSES: Final = 8
# A lost packet is sent again after 200 ms; a head that takes longer than this
# is not merely delayed by one.
HEAD_TIMEOUT_MS: Final = 500


class ResponseLimit(enum.StrEnum):
    """Names of the limits, as causes and metrics show them."""

    HEAD = 'head'
    HEAD_TIME = 'head_time'
    INTERIM = 'interim'
    BODY = 'body'
    FRAMING = 'framing'
    EVENT = 'event'
    UNFINISHED = 'unfinished_event'
    PROGRESS = 'progress'
    SENDING = 'sending'
    MEMORY = 'memory'


class ResponseLimits(NamedTuple):
    """Limits on one response.

    Bytes after a complete response are not read at all.

    :param max_head_bytes: of all heads of the response together.
    :param max_body_bytes: of a body that is read completely.
    :param max_framing_bytes: sizes and trailers of the chunks of a complete
        body, or of a stream since the end of its last event.
    :param max_event_bytes: of one event of a stream.
    :param max_unfinished_bytes: of a stream since the end of its last event.
    :param max_interim_responses: before the final head.
    :param head_ms: longest time from the first byte of a head to its last, and
        from the first byte of the first interim response to the last byte of
        the last one, milliseconds.
    :param silence_ms: longest wait without progress, which is the final head,
        an event of a stream or the end, milliseconds; 0: no limit.
    """

    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    max_framing_bytes: int = MAX_FRAMING_BYTES
    max_event_bytes: int = MEBIBYTE
    max_unfinished_bytes: int = MEBIBYTE
    max_interim_responses: int = MAX_INTERIM_RESPONSES
    head_ms: int = HEAD_TIMEOUT_MS
    silence_ms: int = 0

    @classmethod
    def of_engine(cls, max_request_bytes: int, silence_ms: int) -> Self:
        """Limit the response to one request.

        :param max_request_bytes: largest body that callers may send. What they
            may send, an engine may send back.
        """
        return cls(
            max_body_bytes=max(MAX_BODY_BYTES, max_request_bytes),
            silence_ms=silence_ms,
        )


class LimitExceeded(Exception):
    """A limit was exceeded; the connection can't be used any more."""

    def __init__(self, limit: ResponseLimit, allowed: int) -> None:
        """Name the limit and what it allows."""
        super().__init__(f'limit exceeded: {limit.value}, {allowed} allowed')
        self.limit = limit

    def to_broken(self, *, is_unsent: bool = False) -> ConnectionBroken:
        """Return the error for those who use the connection."""
        return ConnectionBroken(
            str(self), limit=self.limit.value, is_unsent=is_unsent
        )
