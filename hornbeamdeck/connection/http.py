"""HTTP messages, used both towards callers and towards upstreams."""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, TypeAlias

from hornbeamdeck.const import ENCODING

__all__ = (
    'Headers',
    'HttpRequest',
    'HttpResponse',
    'BODILESS_METHODS',
    'BODILESS_STATUSES',
    'bearer_key',
    'ends_with_connection',
    'has_framing',
    'has_two_lengths',
    'header_pairs',
    'join_headers',
    'listed_ids',
    'utf8_field',
    'whole_number',
)

Headers: TypeAlias = Mapping[str, str]

# Their responses have no body, whatever the head says.
BODILESS_METHODS: Final = frozenset(('HEAD', 'CONNECT'))
BODILESS_STATUSES: Final = frozenset((204, 304))
CHARSET: Final = 'latin-1'
BEARER_PREFIX: Final = 'bearer '
SET_COOKIE: Final = 'set-cookie'
COOKIE_SEPARATOR: Final = '\n'
FIELD_SEPARATOR: Final = ', '
MAX_NUMBER: Final = 10_000_000
# Python raises ValueError when it converts numbers of thousands of digits.
MAX_DIGITS: Final = 12


class HttpRequest(NamedTuple):
    """A request with its complete body.

    :param headers: by lower-case name.
    :param has_empty_query: whether the target ends with the question mark of a
        query that is empty.
    """

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    has_empty_query: bool = False

    @property
    def target(self) -> str:
        """The path with the query, as the caller has sent it."""
        if self.query or self.has_empty_query:
            return f'{self.path}?{self.query}'
        return self.path


class HttpResponse(NamedTuple):
    """A complete response, or a response head with an empty body."""

    status: int
    headers: Headers
    body: bytes


def bearer_key(headers: Headers) -> str:
    """Return the bearer key of a request; empty if there is none."""
    authorization = headers.get('authorization', '')
    if not authorization.lower().startswith(BEARER_PREFIX):
        return ''
    return authorization[len(BEARER_PREFIX) :].strip()


def listed_ids(text: str) -> tuple[str, ...]:
    """Return the ids in a list of `ID:VALUE`, in lower case and in order."""
    entries = (each.strip() for each in text.split(','))
    return tuple(each.partition(':')[0].lower() for each in entries if each)


def has_two_lengths(headers: Headers) -> bool:
    """Return whether a message has a length and chunks at once.

    The two headers can disagree on where the body ends. What one server reads
    as the rest of the body, another reads as a second request (request
    smuggling).
    """
    return 'content-length' in headers and 'transfer-encoding' in headers


def has_framing(head: HttpResponse) -> bool:
    """Return whether a response shows where its body ends.

    Otherwise the body ends with the connection (RFC 9112, 6.3).
    """
    return not {'content-length', 'transfer-encoding'}.isdisjoint(head.headers)


def ends_with_connection(method: str, head: HttpResponse) -> bool:
    """Return whether a response has a body that only its connection ends.

    :param method: of the request.
    """
    has_body = method not in BODILESS_METHODS and (
        head.status not in BODILESS_STATUSES
    )
    return has_body and not has_framing(head)


def utf8_field(text: str) -> str:
    """Return a text in the form that sends it in UTF-8 in a header."""
    return text.strip().encode(ENCODING).decode(CHARSET)


def whole_number(text: str) -> int:
    """Read a whole number of at most MAX_NUMBER; drop its decimal places.

    :returns: 0 if the text is no plain number, as if the header were missing.
    """
    digits = text.strip().partition('.')[0]
    if not digits.isascii() or not digits.isdigit():
        return 0
    return min(int(digits[:MAX_DIGITS]), MAX_NUMBER)


def join_headers(pairs: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Join header fields that occur more than once (RFC 9110, 5.3).

    Set-Cookie is the only field that can't be joined by a comma. It is joined
    by a line feed, which no field may contain, and split again when written.
    If the last of the others is empty, the text ends with a comma.
    """
    fields: dict[str, list[str]] = {}
    for raw_name, raw_text in pairs:
        texts = fields.setdefault(raw_name.decode('ascii'), [])
        texts.append(raw_text.decode(CHARSET))
    return {name: _join_texts(name, texts) for name, texts in fields.items()}


def header_pairs(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Convert headers to the form that h11 expects."""
    return [
        (name.encode('ascii'), part.encode(CHARSET))
        for name, text in headers.items()
        for part in _split_cookies(name, text)
    ]


def _join_texts(name: str, texts: list[str]) -> str:
    if name == SET_COOKIE:
        return COOKIE_SEPARATOR.join(texts)
    # No field may end with a space.
    return FIELD_SEPARATOR.join(texts).strip(' ')


def _split_cookies(name: str, text: str) -> list[str]:
    return text.split(COOKIE_SEPARATOR) if name == SET_COOKIE else [text]
