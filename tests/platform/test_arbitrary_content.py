"""Readers of what others write get arbitrary JSON, bytes and headers."""

import json
import math
import os
from itertools import chain
from typing import Any
from unittest.mock import patch

from hypothesis import example, given, seed, settings
from hypothesis import strategies as st
from result import Err

from hornbeamdeck.clock import now_ms, wall_ms
from hornbeamdeck.connection.connection_pool import keep_alive_ms
from hornbeamdeck.connection.http import (
    HttpRequest,
    HttpResponse,
    header_pairs,
)
from hornbeamdeck.connection.json_text import is_whole, parse_json
from hornbeamdeck.connection.json_validators import MAX_INT64
from hornbeamdeck.connection.store_era import StoreEra
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.connection.unusable_entries import UnusableEntries
from hornbeamdeck.platform.dialect import DIALECT
from hornbeamdeck.platform.documents import (
    configuration_version,
    parse_configuration,
    parse_engine,
)
from hornbeamdeck.platform.rollout_documents import (
    parse_rollout,
    rollout_status,
)
from hornbeamdeck.request.gateway_request import ResponseVerdict
from hornbeamdeck.rollout.book import RolloutBook
from hornbeamdeck.scheduling.origin_buckets import OriginBuckets
from hornbeamdeck.scheduling.rollout import RolloutBounds
from hornbeamdeck.store.engine_directory import EngineDirectory
from hornbeamdeck.store.list_version import ListVersion
from hornbeamdeck.store.recorded_names import parse_record
from hornbeamdeck.store.store_interface import StoredRecord
from hornbeamdeck.store.stored_objects import usable_events, usable_objects
from hornbeamdeck.wire import (
    Beat,
    Enqueue,
    StreamOrigins,
    Suspect,
    encode_frame,
)
from tests.platform.standins import document

REVISION = StoreRevision(1, 3)
# Texts that stand for JSON which `json.dumps` doesn't write.
RAW = {
    '<deep>': '[' * 1200 + ']' * 1200,
    '<deeper>': '[' * 100_000 + ']' * 100_000,
    '<nested>': '{"a":' * 900 + '1' + '}' * 900,
    '<long>': '9' * 5000,
    '<huge>': '-1e999',
    '<open>': '[{"a":',
}
_KEYS = st.sampled_from(
    (
        '',
        'desk',
        'ready',
        'running',
        'v1',
        '10.0.0.1:80',
        '10.0.0.1:0',
        '10.0.0.1:65536',
        '[::1]:80',
        '\ud800',
        'a\0b',
        'x/y',
        '日本',
        'z' * 70_000,
    )
)
_TEXTS = _KEYS | st.sampled_from(tuple(RAW))
_NUMBERS = st.sampled_from(
    (
        0,
        1,
        -1,
        1.5,
        1 << 15,
        1 << 31,
        1 << 63,
        1 << 64,
        10**30,
        10**400,
        math.inf,
        -math.inf,
        math.nan,
        1e308,
    )
)
_ODD = st.recursive(
    st.none() | st.booleans() | _NUMBERS | _TEXTS | st.text(max_size=5),
    lambda each: (
        st.lists(each, max_size=3) | st.dictionaries(_KEYS, each, max_size=3)
    ),
    max_leaves=6,
)
EXAMPLES = int(os.environ.get('ODD_EXAMPLES', '100'))
CHECKED = settings(max_examples=EXAMPLES, deadline=None, database=None)


def _changed(sound: dict[str, Any]) -> st.SearchStrategy[dict[str, Any]]:
    """Change some fields of an object to anything, or leave them out."""
    return st.builds(
        lambda odd, left_out: {
            name: found
            for name, found in {**sound, **odd}.items()
            if name not in left_out
        },
        st.dictionaries(st.sampled_from(tuple(sound)), _ODD, max_size=3),
        st.sets(st.sampled_from(tuple(sound)), max_size=1),
    )


def _as_read(found: Any) -> Any:
    """Return a value as readers get it; `None`: it is no JSON."""
    text = json.dumps(found)
    for name, raw in RAW.items():
        text = text.replace(json.dumps(name), raw)
    try:
        return parse_json(text.encode())
    except ValueError:
        return None


def _document() -> st.SearchStrategy[Any]:
    sound = document()
    return st.builds(
        lambda whole, **parts: {**parts, **whole},
        _changed(sound) | st.just({}),
        version=st.just(7),
        routes=st.lists(_changed(sound['routes'][1]), max_size=2) | _ODD,
        services=st.lists(_changed(sound['services'][0]), max_size=2) | _ODD,
        limits=_changed(sound['limits']) | _ODD,
        tenants=st.lists(_changed(sound['tenants'][0]), max_size=2) | _ODD,
    )


@seed(7)
@CHECKED
@given(_document() | _ODD)
def test_any_configuration_is_refused_or_can_be_told_to_peers(
    found: Any,
) -> None:
    """Guards against values that end connections to peers, or tasks."""
    read = _as_read(found)
    version = configuration_version(read)
    encode_frame(Beat(), configuration_version=version)
    parsed = parse_configuration(json.dumps(read), version)
    if isinstance(parsed, Err):
        assert all(map(str, parsed.err_value))
        return
    configuration = parsed.ok_value
    by_prefix = configuration.routes.values()
    for route in chain.from_iterable(each.values() for each in by_prefix):
        service = route.pick_service(0.5)
        encode_frame(
            Enqueue(
                request_id='r',
                cell=service,
                team='t',
                tier_rank=route.priority,
                deadline_ms=route.timeout_ms,
                prompt_tokens=1,
                output_tokens=1,
                fingerprint='f',
                objective_ms=route.objective_ms,
                gap_ms=route.gap_ms,
                route=route.name,
            )
        )
    for team in configuration.teams.values():
        encode_frame(
            Enqueue(
                request_id='r',
                cell='desk',
                team=team.name,
                tier_rank=team.priority or 0,
                deadline_ms=1,
                prompt_tokens=1,
                output_tokens=1,
                fingerprint='f',
                quota_tokens=team.default_request_tokens,
            )
        )
        assert 0 <= team.rate_per_s < math.inf
        assert 0 <= team.burst < math.inf


_ENTRY = {
    'service': 'desk',
    'address': '10.0.0.1:80',
    'zone': 'z1',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'sequence': 1,
    'born': 5,
}


@seed(7)
@CHECKED
@given(_TEXTS | st.text(), _changed(_ENTRY) | _ODD)
def test_any_entry_names_no_engine_or_one_that_can_be_told_to_peers(
    name: str, found: Any
) -> None:
    """Guards against an entry that ends the following of the list."""
    parsed = parse_engine(name, _as_read(found))
    if isinstance(parsed, Err):
        return
    directory = EngineDirectory()
    directory.update(ListVersion(REVISION), [parsed.ok_value])
    encode_frame(directory.to_wire({}))
    assert header_pairs(DIALECT.incarnation_request(name).headers)


_STORED = {
    'metadata': {'name': 'desk', 'revision': 3, 'created': 2},
    'spec': {'service': 'desk', 'target': 'v2', 'duration_s': 9},
    'status': {'state': 'running', 'target': 'v2', 'started_unix_ms': 5},
}


def _stored() -> st.SearchStrategy[Any]:
    return st.fixed_dictionaries(
        {name: _changed(sound) | _ODD for name, sound in _STORED.items()}
    )


@seed(7)
@CHECKED
@given(_stored() | _ODD)
def test_any_order_is_refused_or_can_be_told_to_peers(found: Any) -> None:
    """Guards against an order that ends the following of roll-outs."""
    unusable = UnusableEntries()
    book = RolloutBook(
        RolloutBounds(expose_share=0.1, expose_slack=9, rollback_ms=250),
        wall_ms,
    )
    for stored in usable_objects('rollouts', [_as_read(found)], unusable):
        change = parse_rollout(stored, 1)
        book.apply_list([change], now_ms(), era=1)
        encode_frame(Beat(rollouts=book.to_wire(now_ms())))
        rollout = change.stored
        if rollout is not None and rollout.order and rollout.phase:
            json.dumps(rollout_status(rollout))


@seed(7)
@CHECKED
@given(st.lists(_stored() | _ODD, max_size=3), _ODD)
def test_any_object_or_event_is_left_out_or_has_a_name(
    found: list[Any], removed: Any
) -> None:
    """Guards against objects of any kind that end the reading of a list."""
    unusable = UnusableEntries()
    listed = list(map(_as_read, found))
    events = [{'object': each, 'removed': bool(removed)} for each in listed]
    for stored in usable_objects('servers', listed, unusable):
        assert stored['metadata']['name'].isprintable()
    for event in usable_events('servers', [*events, *listed], unusable):
        assert event['object']['metadata']['name'].isprintable()


@seed(7)
@CHECKED
@given(
    _ODD
    | st.fixed_dictionaries(
        {
            'era': st.just(1) | _ODD,
            'names': st.dictionaries(_KEYS, st.lists(_TEXTS, max_size=3))
            | _ODD,
            'complete': st.just([]) | _ODD,
        }
    )
)
@example({'era': 1, 'names': {'desk': ['\ud800']}, 'complete': []})
def test_any_record_is_ignored_or_can_be_told_to_peers(found: Any) -> None:
    """Guards against recorded names that end connections to peers."""
    record = StoredRecord(REVISION, _as_read(found))
    for service, recorded in parse_record(record).items():
        for name in recorded.names:
            encode_frame(Suspect(cell=service, fingerprint=name, crashes=1))


@seed(7)
@CHECKED
@given(
    _ODD
    | st.dictionaries(
        _KEYS,
        st.dictionaries(
            _KEYS,
            st.tuples(_ODD, _ODD, _ODD, _ODD | st.just(1)).map(list) | _ODD,
        ),
    )
)
def test_any_stored_origins_are_left_out_or_can_be_told_to_peers(
    found: Any,
) -> None:
    """Guards against stored origins that end connections to peers."""
    with patch('hornbeamdeck.scheduling.origin_buckets.BUCKETS', 4):
        buckets = OriginBuckets()
    restored = buckets.restore(1, _as_read(found), now_ms())
    for service, origin in restored:
        encode_frame(StreamOrigins(cell=service, origins=[origin]))


_HEADER = st.sampled_from(
    (
        '9' * 5000,
        '9' * 400,
        '-1',
        'nan',
        '1e999',
        '²',
        '1,2',
        'ff:9',
        ',',
        'timeout=²',
        'Mon, 99 Foo 99999 99:99:99 +99999999',
        'Mon, 06 Dec 2026 21:00:00 GMT',
    )
) | st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=40)
_ENGINE_HEADERS = (
    'server-limit',
    'server-brittle',
    'server-leaving',
    'retry-after',
    'date',
    'keep-alive',
    'hornbeamdeck-weight-versions',
    'hornbeamdeck-request-id',
    'store-era',
)
_CALLER_HEADERS = (
    'host',
    'authorization',
    'hornbeamdeck-request-id',
    'hornbeamdeck-deadline-ms',
    'hornbeamdeck-token-counts',
    'hornbeamdeck-prompt-prefix',
    'hornbeamdeck-length-hint',
    'last-event-id',
    'resumes',
    'content-length',
)


@seed(7)
@CHECKED
@given(
    st.dictionaries(st.sampled_from(_ENGINE_HEADERS), _HEADER),
    st.sampled_from((200, 204, 421, 429, 500, 503)),
    st.sampled_from(ResponseVerdict),
)
def test_any_head_of_a_response_is_read(
    headers: dict[str, str], status: int, verdict: ResponseVerdict
) -> None:
    """Guards against callers that lose a response whose head is odd."""
    response = HttpResponse(status, headers, b'')
    stated = DIALECT.read_statement(response, verdict)
    assert 0 <= stated.rest_ms.unwrap_or(0) < math.inf
    assert 0 <= keep_alive_ms(headers) < math.inf
    era = StoreEra('store-era').of(response)
    encode_frame(Beat(engines_era=era))
    decoded = DIALECT.read_request(
        HttpRequest('GET', '/', '', {'hornbeamdeck-request-id': 'r'}, b'')
    )
    DIALECT.classify_response(decoded.unwrap(), response)


@seed(7)
@CHECKED
@given(st.dictionaries(st.sampled_from(_CALLER_HEADERS), _HEADER))
def test_any_head_of_a_request_is_read_or_refused(
    headers: dict[str, str],
) -> None:
    """Guards against callers whose connection ends without an answer."""
    decoded = DIALECT.read_request(HttpRequest('GET', '/', '', headers, b''))
    if isinstance(decoded, Err):
        assert decoded.err_value.status == 400
        return
    request = decoded.ok_value
    for number in (
        request.client_timeout_ms,
        request.prompt_tokens,
        request.output_tokens,
        request.expected_tokens,
    ):
        assert 0 <= number < 1 << 31


@seed(7)
@CHECKED
@given(_changed({'born': 5, 'stage': 'both', 'models': []}) | _ODD)
@example({'born': 5, 'stage': '<deeper>', 'models': []})
@example({'born': 5, 'waiting': '<long>', 'models': []})
def test_any_report_of_an_engine_is_read(found: Any) -> None:
    """Guards against a start that is missed, or can't be told to peers."""
    text = json.dumps(found)
    for name, raw in RAW.items():
        text = text.replace(json.dumps(name), raw)
    born_ms = DIALECT.read_incarnation(HttpResponse(200, {}, text.encode()))
    assert born_ms is None or 0 < born_ms < 1 << 63
    read = _as_read(found)
    stated = read.get('born') if isinstance(read, dict) else None
    if is_whole(stated, MAX_INT64) and stated:
        assert born_ms == stated


@seed(7)
@CHECKED
@given(st.binary(max_size=60))
def test_any_bytes_are_no_report(body: bytes) -> None:
    """Guards against exceptions in what asks engines."""
    DIALECT.read_incarnation(HttpResponse(200, {}, body))


@seed(7)
@CHECKED
@given(st.integers(1, 1100), st.integers(0, 700), st.sampled_from('[{'))
def test_no_value_is_too_deep_for_those_who_log_or_store_it(
    depth: int, frames: int, kind: str
) -> None:
    """Guards against a value that can be read, but not written or logged."""
    text = '[' * depth + ']' * depth
    if kind == '{':
        text = '{"a":' * depth + '1' + '}' * depth
    read = parse_json(text)

    def _use(left: int) -> None:
        if left:
            _use(left - 1)
            return
        json.dumps(read)
        ascii(read)

    _use(frames)
