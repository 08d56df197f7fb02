"""Limits on the requests of one caller."""

from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

from hornbeamdeck.const import MEBIBYTE

__all__ = ('GetLimits', 'ReadLimits')

MAX_HEADER_BYTES: Final = 32_768


class ReadLimits(NamedTuple):
    """Limits on one caller's requests.

    :param idle_ms: longest wait for the first byte of a request, milliseconds.
    :param header_ms: longest time from the first byte of a request to the end
        of its head, milliseconds.
    :param request_ms: longest time from the first byte of a request to the
        last, milliseconds.
    """

    idle_ms: int = 75_000
    header_ms: int = 15_000
    request_ms: int = 15_000
    max_body_bytes: int = 4 * MEBIBYTE
    max_header_bytes: int = MAX_HEADER_BYTES


# Returns the limits in force now.
GetLimits: TypeAlias = Callable[[], ReadLimits]
