"""Reads what the responses of an engine state about the engine itself."""

import importlib
import re
from http import HTTPStatus
from types import MappingProxyType
from typing import Final, NamedTuple

from result import Err, Ok, Result

from hornbeamdeck.clock import wall_ms
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.json_text import parse_json
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.request.gateway_request import (
    EngineStatement,
    MakeIncarnationRequest,
    ReadIncarnation,
    ReadStatement,
    ResponseVerdict,
    ShownLimit,
    StatedLimit,
)

__all__ = (
    'StatementHeaders',
    'make_incarnation_reader',
    'make_incarnation_request_maker',
    'make_statement_reader',
)

DECIMAL_NUMBER: Final = re.compile(r'[0-9]{1,12}(\.[0-9]{1,12})?', re.ASCII)
SECONDS: Final = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+', re.ASCII)
# An engine that asks for a longer rest gets a request after this time.
MAX_REST_MS: Final = 3_600_000.0
# Starts of incarnations are sent to peers as signed 64-bit integers.
MAX_BORN_BITS: Final = 63
_FLAGS: Final = MappingProxyType({'0': False, '1': True})
RETRY_AFTER: Final = 'retry-after'
DATE: Final = 'date'
# Imported when an engine first sends a date, which is rare, to reduce startup
# time and memory.
DATES_MODULE: Final = 'email.utils'
# Headers that HTTP defines, and that no decision needs.
_PLAIN_HEADERS: Final = frozenset(
    (
        'cache-control',
        'connection',
        'content-encoding',
        'content-length',
        'content-type',
        'keep-alive',
        'server',
        'transfer-encoding',
        DATE,
        RETRY_AFTER,
    ),
)


class StatementHeaders(NamedTuple):
    """Names of headers in responses of engines, in lower case.

    :param request_limit: requests per second that the engine accepts from all
        instances together, a decimal number.
    :param leaving: 1 in all responses of an engine that leaves.
    :param rejection_limit: how many requests the engine can reject in a second
        without falling over, a number.
    :param others: headers that are read elsewhere or only passed on.
    """

    request_limit: str
    leaving: str
    rejection_limit: str
    others: frozenset[str]


def make_statement_reader(names: StatementHeaders) -> ReadStatement:
    """Make the function that reads what a response states of its engine."""
    known = _PLAIN_HEADERS | names.others
    known |= {names.request_limit, names.leaving, names.rejection_limit}

    def _shown_limit(text: str | None, verdict: ResponseVerdict) -> ShownLimit:
        limit = _read_limit(text)
        if verdict != ResponseVerdict.RAN and limit == Ok(None):
            # A rejection or a damaged response may lack what the engine states.
            return None
        return limit

    def _read_statement(
        response: HttpResponse, verdict: ResponseVerdict
    ) -> EngineStatement:
        if verdict == ResponseVerdict.MISDIRECTED:
            # Another engine has responded.
            return EngineStatement()
        headers = response.headers
        return EngineStatement(
            request_limit=_shown_limit(
                headers.get(names.request_limit), verdict
            ),
            rejection_limit=_shown_limit(
                headers.get(names.rejection_limit), verdict
            ),
            leaving=_read_flag(headers.get(names.leaving)),
            rest_ms=_read_rest_ms(response),
            unread_headers=tuple(headers.keys() - known),
        )

    return _read_statement


def make_incarnation_request_maker(
    path: str, engine_header: str
) -> MakeIncarnationRequest:
    """Make the function that asks an engine for its incarnation.

    :param engine_header: gets the engine's name, so that no other answers.
    """

    def _make_request(engine: str) -> HttpRequest:
        return HttpRequest('GET', path, '', {engine_header: engine}, b'')

    return _make_request


def make_incarnation_reader(field: str) -> ReadIncarnation:
    """Make the function that reads an engine's statement of its incarnation.

    :param field: of the JSON body, with the start in Unix milliseconds.
    """

    def _read_born_ms(response: HttpResponse) -> int | None:
        if response.status != HTTPStatus.OK:
            return None
        try:
            stated = parse_json(response.body)
        except ValueError:
            return None
        born_ms = stated.get(field) if isinstance(stated, dict) else None
        return _to_start(born_ms)

    return _read_born_ms


def _to_start(born_ms: object) -> int | None:
    if not isinstance(born_ms, int) or isinstance(born_ms, bool):
        return None
    is_valid = born_ms >= 1 and born_ms.bit_length() <= MAX_BORN_BITS
    return born_ms if is_valid else None


def _read_limit(text: str | None) -> StatedLimit:
    if text is None:
        return Ok(None)
    if DECIMAL_NUMBER.fullmatch(text.strip()) is None:
        return Err(text)
    return Ok(float(text))


def _read_flag(text: str | None) -> Result[bool, str]:
    if text is None:
        return Ok(False)
    is_set = _FLAGS.get(text.strip())
    return Err(text) if is_set is None else Ok(is_set)


def _read_rest_ms(response: HttpResponse) -> Result[float, str]:
    """Read a number of seconds or a date (RFC 9110, section 10.2.3)."""
    text = response.headers.get(RETRY_AFTER)
    if text is None or response.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return Ok(0.0)
    if SECONDS.fullmatch(text.strip()):
        return Ok(min(float(text) * MILLIS_PER_SECOND, MAX_REST_MS))
    until_ms = _date_ms(text)
    if until_ms is None:
        return Err(text)
    # The engine's clock may differ from the one of this machine.
    sent_ms = _date_ms(response.headers.get(DATE, '')) or wall_ms()
    return Ok(min(max(until_ms - sent_ms, 0.0), MAX_REST_MS))


def _date_ms(text: str) -> float | None:
    try:
        date = importlib.import_module(DATES_MODULE).parsedate_to_datetime(text)
        return float(date.timestamp() * MILLIS_PER_SECOND)
    except (ValueError, OverflowError, OSError):
        return None
