"""Tests of JSON that others have written."""

import json
from contextlib import suppress
from time import monotonic
from typing import Any

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from hornbeamdeck.connection.json_text import parse_json

SOUND = b'{"a": [1, 2.5, "x", null, {"b": "[{"}]}'
MOST_S = 2.0


def _beside(odd: bytes) -> bytes:
    return b'{"entries": [%b, {"odd": %b}, %b]}' % (SOUND, odd, SOUND)


@pytest.mark.parametrize(
    'odd',
    [
        b'[' * 1200 + b']' * 1200,
        b'{"a":' * 5000 + b'1' + b'}' * 5000,
        b'[{"a":' * 5000 + b'"]}"' + b'}]' * 5000,
        b'9' * 5000,
        b'"\xff\xfe"',
        json.dumps(chr(0xD800)).encode(),
        b'"\t\x01"',
        b'1e999',
        b'-Infinity',
    ],
)
def test_odd_value_leaves_the_others_readable(odd: bytes) -> None:
    """Guards against one entry that makes a whole page unreadable."""
    first, _, last = parse_json(_beside(odd))['entries']
    assert first == last == json.loads(SOUND)


@pytest.mark.parametrize(
    'body', [b'', b'[', b'[' * 4_000_000, b'{"a":' * 700_000, rb'"\"' * 900_000]
)
def test_what_is_no_json_is_an_error_soon(body: bytes) -> None:
    """Guards against bytes that occupy the process, or end its task."""
    begun_s = monotonic()
    with pytest.raises(ValueError):
        parse_json(body)
    assert monotonic() - begun_s < MOST_S


_INTEGERS = st.integers(-(1 << 63), (1 << 63) - 1)
_JSON = st.recursive(
    st.none() | st.booleans() | _INTEGERS | st.floats() | st.text(),
    lambda each: st.lists(each) | st.dictionaries(st.text(), each),
)


@seed(7)
@settings(max_examples=200, deadline=None, database=None)
@given(st.binary())
def test_any_bytes_are_json_or_a_value_error(body: bytes) -> None:
    """Guards against exceptions that callers don't expect."""
    for encoded in (body, _beside(body), b'[%b' % body):
        with suppress(ValueError):
            parse_json(encoded)


@seed(7)
@settings(max_examples=200, deadline=None, database=None)
@given(_JSON)
def test_json_beside_a_deep_value_is_kept(found: Any) -> None:
    """Guards against values that are changed beside one that is left out."""
    text = json.dumps({'found': found, 'deep': [0]}, allow_nan=True)
    deep = text.replace('[0]}', '[' * 3000 + ']' * 3000 + '}')
    assert repr(parse_json(deep)['found']) == repr(json.loads(text)['found'])
