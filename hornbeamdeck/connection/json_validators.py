"""Validators of parsed JSON that others have written, for schemas."""

import math
from collections.abc import Callable
from typing import Any, Final

import voluptuous as vol

from hornbeamdeck.connection.json_text import is_plain_text, is_whole

__all__ = ('MAX_INT64', 'finite', 'plain_text', 'whole_up_to')

MAX_INT64: Final = 0x7FFFFFFFFFFFFFFF


def whole_up_to(largest: int) -> Callable[[Any], int]:
    """Make a validator of whole numbers from 0 on."""

    def _check(found: Any) -> int:
        if not is_whole(found, largest):
            raise vol.Invalid(f'expected a whole number up to {largest}')
        return int(found)

    return _check


def plain_text(found: Any) -> str:
    """Check a short text that may be passed on and logged."""
    if not is_plain_text(found):
        raise vol.Invalid('expected a short plain text')
    return str(found)


def finite(found: float) -> float:
    """Check a number."""
    if not math.isfinite(found):
        raise vol.Invalid('expected a finite number')
    return found
