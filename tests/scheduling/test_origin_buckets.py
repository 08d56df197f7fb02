"""Tests of how origins are laid out in objects of the store."""

import json
from collections.abc import Iterator
from typing import Any

import pytest

from hornbeamdeck.scheduling.origin_buckets import BUCKETS, OriginBuckets
from hornbeamdeck.scheduling.version_history import HISTORY_MS
from hornbeamdeck.wire import StreamOrigin

MODULE = OriginBuckets.__module__
MEGABYTE = 1_000_000


def _origin(request_id: str, **changes: Any) -> StreamOrigin:
    fields = {
        'request_id': request_id,
        'team': 'guides',
        'upstream': 'of-v1',
        'attempt': 0,
        'left_ms': 10_000,
        'version': 'v1',
        'is_begun': True,
        'is_certain': True,
        **changes,
    }
    return StreamOrigin(**fields)


def _apply(
    buckets: OriginBuckets, *names: str, now: float = 0, **changes: Any
) -> None:
    buckets.apply('desk', [_origin(each, **changes) for each in names], now)


def _pop_all_due(
    buckets: OriginBuckets, now: float
) -> Iterator[tuple[int, Any]]:
    due = buckets.pop_due(now)
    while due is not None:
        yield due
        due = buckets.pop_due(now)


def _written(buckets: OriginBuckets, now: float = 0) -> dict[int, set[str]]:
    return {
        number: set(stored.get('desk', ()))
        for number, stored in _pop_all_due(buckets, now)
    }


def test_origins_are_found_again() -> None:
    """Guards against streams that are unknown after the loss of all."""
    buckets, restored = OriginBuckets(), OriginBuckets()
    _apply(buckets, 'a', 'b')
    due = buckets.pop_due(0)
    assert due is not None
    found = restored.restore(0, json.loads(json.dumps(due[1])), 0)
    assert [(service, each.request_id) for service, each in found] == [
        ('desk', 'a'),
        ('desk', 'b'),
    ]
    assert {each.version for _, each in found} == {'v1'}
    assert {each.left_ms for _, each in found} == {HISTORY_MS}


def test_only_what_has_changed_is_due() -> None:
    """Guards against calls that write what the store holds."""
    buckets = OriginBuckets()
    _apply(buckets, 'a')
    assert _written(buckets) == {0: {'a'}}
    _apply(buckets, 'a', upstream='other', attempt=1)
    assert not _written(buckets)


def test_origin_in_doubt_is_removed() -> None:
    """Guards against a doubt that is forgotten with the processes."""
    buckets = OriginBuckets()
    _apply(buckets, 'a', 'b')
    _written(buckets)
    _apply(buckets, 'a', version=None)
    assert _written(buckets) == {0: {'b'}}


def test_stream_without_an_event_is_not_written() -> None:
    """Guards against the version of an engine that brought no event."""
    buckets = OriginBuckets()
    _apply(buckets, 'a', is_begun=False)
    assert not _written(buckets)


def test_uncertain_origin_is_not_written() -> None:
    """Guards against a version that the engine's entry alone states."""
    buckets = OriginBuckets()
    _apply(buckets, 'a', is_certain=False)
    assert not _written(buckets)
    _apply(buckets, 'a')
    assert _written(buckets) == {0: {'a'}}


def test_full_objects_are_replaced_from_the_oldest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against objects that grow without end."""
    monkeypatch.setattr(f'{MODULE}.MAX_BUCKET_ORIGINS', 2)
    buckets = OriginBuckets()
    names = [f'{number}' for number in range(2 * BUCKETS + 1)]
    _apply(buckets, *names)
    assert len(buckets) == 2 * BUCKETS - 1
    written = _written(buckets)
    assert len(written) == BUCKETS
    assert written[0] == {names[-1]}
    assert written[1] == {'2', '3'}


def test_expired_origins_make_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a ring that is used up by streams that have ended."""
    monkeypatch.setattr(f'{MODULE}.MAX_BUCKET_ORIGINS', 2)
    buckets = OriginBuckets()
    _apply(buckets, 'a', 'b')
    _apply(buckets, 'c', now=10_001)
    assert _written(buckets, 10_001) == {0: {'c'}}


def test_object_stays_below_the_limit_of_the_store() -> None:
    """Guards against writes that the store refuses for their size."""
    buckets = OriginBuckets()
    _apply(buckets, *(f'{number:0>1500}' for number in range(600)))
    _apply(buckets, *(f'{number:é>1500}' for number in range(600)))
    _apply(buckets, 'x' * MEGABYTE)
    sizes = [len(json.dumps(due)) for due in _pop_all_due(buckets, 0)]
    assert max(sizes) < MEGABYTE


def test_contradictory_objects_leave_a_stream_in_doubt() -> None:
    """Guards against choosing between what two owners have written."""
    buckets = OriginBuckets()
    buckets.restore(0, {'desk': {'a': ['guides', 'of-v1', 'v1', 0]}}, 0)
    stored = {'desk': {'a': ['guides', 'of-v2', 'v2', 1]}}
    found = buckets.restore(1, stored, 0)
    assert [(each.version, each.attempt) for _, each in found] == [('v2', 0)]
    _apply(buckets, 'a', version=None)
    assert _written(buckets) == {0: set(), 1: set()}


@pytest.mark.parametrize(
    'fields',
    [
        None,
        [],
        'text',
        {'desk': None},
        {'desk': [['a']]},
        {'desk': {'a': None}},
        {'desk': {'a': ['guides', 'of-v1', 'v1']}},
        {'desk': {'a': ['guides', 'of-v1', None, 0]}},
        {'desk': {'a': ['guides', 'of-v1', 'v1', -1]}},
        {'desk': {'a': ['guides', 'of-v1', 'v1', 10**9]}},
        {'desk': {'a': ['guides', 'of-v1', ['v1'], 0]}},
        {'desk': {'a': ['guides', 'of-v1', '\ud800', 0]}},
        {'desk': {'a' * MEGABYTE: ['guides', 'of-v1', 'v1', 0]}},
    ],
)
def test_other_contents_are_left_out(fields: Any) -> None:
    """Guards against objects that another writer has spoiled."""
    buckets = OriginBuckets()
    sound = {'counter': {'b': ['guides', 'of-v1', 'v1', 0]}}
    if isinstance(fields, dict):
        fields = {**fields, **sound}
        assert len(buckets.restore(0, fields, 0)) == 1
    else:
        assert not buckets.restore(0, fields, 0)


def test_huge_object_is_read_in_part() -> None:
    """Guards against an object that fills the memory."""
    buckets = OriginBuckets()
    streams = {f'{each}': ['', '', '', 0] for each in range(40_000)}
    assert len(buckets.restore(0, {'desk': streams}, 0)) == 500
