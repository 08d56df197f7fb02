"""Parses JSON that others have written."""

import json
import re
from typing import Any, Final

__all__ = (
    'CONTENT_ERRORS',
    'is_field_text',
    'is_plain_text',
    'is_whole',
    'parse_json',
)

# What reading values of other types than expected may raise.
CONTENT_ERRORS: Final = (
    ValueError,
    LookupError,
    TypeError,
    OverflowError,
    RecursionError,
)
MAX_DEPTH: Final = 32
# The longest numbers have 19 digits and a sign.
MAX_INT_CHARS: Final = 20
MAX_TEXT_CHARS: Final = 256
# A value of a type that no field has.
_LEFT_OUT: Final = '[]'
_TOKEN: Final = re.compile(r'"(?:[^"\\]|\\.)*+"?|[\[{]+|[\]}]+', re.DOTALL)


def parse_json(encoded: bytes | str) -> Any:
    """Parse JSON; a value that can't be read does not affect the others.

    A value that is nested too deeply is replaced by an empty list, a number
    that is too long by infinity, and bytes that are no text by halves of
    surrogate pairs.

    :raises ValueError: if it is no JSON.
    """
    try:
        return json.loads(encoded)
    except (ValueError, RecursionError):
        return _parse_odd(encoded)


def is_plain_text(found: Any) -> bool:
    """Return whether a value is a text that may be passed on and logged."""
    return (
        isinstance(found, str)
        and len(found) <= MAX_TEXT_CHARS
        and found.isprintable()
    )


def is_field_text(found: Any) -> bool:
    """Return whether a value is a text that a header may hold as it is."""
    return (
        is_plain_text(found)
        and found.isascii()
        and bool(found)
        and found == found.strip()
    )


def is_whole(found: Any, largest: int) -> bool:
    """Return whether a value is a whole number from 0 on, and no boolean."""
    if isinstance(found, bool) or not isinstance(found, int):
        return False
    return 0 <= found <= largest


def _parse_odd(encoded: bytes | str) -> Any:
    if isinstance(encoded, bytes):
        encoded = encoded.decode('utf-8', 'surrogateescape')
    return json.loads(_without_deep(encoded), parse_int=_to_int, strict=False)


def _to_int(digits: str) -> float:
    return int(digits) if len(digits) <= MAX_INT_CHARS else float('inf')


def _without_deep(text: str) -> str:
    """Replace values that are nested too deeply."""
    kept: list[str] = []
    kept_to = 0
    depth = 0
    for token in _TOKEN.finditer(text):
        start, end = token.span()
        next_depth = depth + _depth_change(text[start], end - start)
        if depth <= MAX_DEPTH < next_depth:
            kept += (text[kept_to : start + MAX_DEPTH - depth], _LEFT_OUT)
        elif next_depth <= MAX_DEPTH < depth:
            kept_to = start + depth - MAX_DEPTH
        depth = next_depth
    if depth <= MAX_DEPTH:
        kept.append(text[kept_to:])
    return ''.join(kept)


def _depth_change(first: str, length: int) -> int:
    if first in '[{':
        return length
    return -length if first in ']}' else 0
