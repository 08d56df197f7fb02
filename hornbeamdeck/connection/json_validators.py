"""Validators of parsed JSON that others have written, for schemas."""

import math
from collections.abc import Callable
from typing import Any, Final

import voluptuous as vol

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.json_text import is_plain_text, is_whole
from hornbeamdeck.const import ENCODING

__all__ = (
    'MAX_INT64',
    'amount',
    'count',
    'encodable_text',
    'finite',
    'name_text',
    'plain_name',
    'plain_text',
    'remote_address',
    'small_count',
    'whole_up_to',
)

MAX_INT16: Final = 0x7FFF
MAX_INT32: Final = 0x7FFFFFFF
MAX_INT64: Final = 0x7FFFFFFFFFFFFFFF
# Larger amounts lose whole units in floating point.
MAX_AMOUNT: Final = 1e15


def whole_up_to(largest: int) -> Callable[[Any], int]:
    """Make a validator of whole numbers from 0 on."""

    def _check(found: Any) -> int:
        if not is_whole(found, largest):
            raise vol.Invalid(f'expected a whole number up to {largest}')
        return int(found)

    return _check


def amount(found: Any) -> float:
    """Read an amount from 0 on; one beyond the largest counts as that."""
    stated = found if isinstance(found, int) else float(found)
    if not stated >= 0:
        raise vol.Invalid('expected an amount from 0 on')
    return min(stated, MAX_AMOUNT)


def count(found: Any) -> int:
    """Read a count that is sent to peers as 32 bits."""
    return int(min(amount(found), MAX_INT32))


def small_count(found: Any) -> int:
    """Read a count that is sent to peers as 16 bits, or multiplied before."""
    return int(min(amount(found), MAX_INT16))


def encodable_text(found: Any) -> str:
    """Check a text that is sent to peers."""
    if not isinstance(found, str):
        raise vol.Invalid('expected a text')
    found.encode(ENCODING)
    return found


def name_text(found: Any) -> str:
    """Check a name that is sent to peers."""
    if not found:
        raise vol.Invalid('expected a name')
    return encodable_text(found)


def plain_text(found: Any) -> str:
    """Check a short text that may be passed on and logged."""
    if not is_plain_text(found):
        raise vol.Invalid('expected a short plain text')
    return str(found)


def plain_name(found: Any) -> str:
    """Check a short name that may be passed on and logged."""
    if not found:
        raise vol.Invalid('expected a name')
    return plain_text(found)


def remote_address(found: Any) -> str:
    """Check an address that connections may be opened to."""
    address = Address.from_text(plain_text(found))
    if not address.port:
        raise vol.Invalid('expected a port from 1 on')
    return str(address)


def finite(found: float) -> float:
    """Check a number."""
    if not math.isfinite(found):
        raise vol.Invalid('expected a finite number')
    return found
