"""HTTP messages, the same on the caller's and the upstream's side."""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, TypeAlias

__all__ = (
    'Headers',
    'HttpRequest',
    'HttpResponse',
    'header_pairs',
    'join_headers',
)

Headers: TypeAlias = Mapping[str, str]

CHARSET: Final = 'latin-1'
SET_COOKIE: Final = 'set-cookie'
COOKIE_SEPARATOR: Final = '\n'
FIELD_SEPARATOR: Final = ', '


class HttpRequest(NamedTuple):
    """A request whose body has been read whole.

    :param headers: by name in lower case.
    """

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes


class HttpResponse(NamedTuple):
    """A whole response, or its head with the body still empty."""

    status: int
    headers: Headers
    body: bytes


def join_headers(pairs: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Join fields that came more than once (RFC 9110, 5.3).

    Set-Cookie alone can't be joined by a comma; a line feed, which no field
    may hold, keeps its fields apart until they are written again.
    """
    parts: dict[str, list[str]] = {}
    for raw_name, raw_text in pairs:
        fields = parts.setdefault(raw_name.decode('ascii'), [])
        fields.append(raw_text.decode(CHARSET))
    return {
        name: _separator(name).join(fields) for name, fields in parts.items()
    }


def header_pairs(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Give headers in the form that h11 takes."""
    return [
        (name.encode('ascii'), part.encode(CHARSET))
        for name, text in headers.items()
        for part in _parts(name, text)
    ]


def _separator(name: str) -> str:
    return COOKIE_SEPARATOR if name == SET_COOKIE else FIELD_SEPARATOR


def _parts(name: str, text: str) -> list[str]:
    return text.split(COOKIE_SEPARATOR) if name == SET_COOKIE else [text]
