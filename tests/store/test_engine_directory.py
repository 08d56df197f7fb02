"""Tests of which list of engines is used and of its confirmation time."""

import math
from typing import Any

import pytest

from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.incarnations import IncarnationBook
from hornbeamdeck.store.engine_directory import EngineDirectory
from hornbeamdeck.store.list_version import ListVersion
from hornbeamdeck.wire import (
    EngineList,
    decode_frame,
    encode_frame,
    message_of,
)
from hornbeamdeck.wire.codec import LENGTH_PREFIX


def _version(number: int) -> ListVersion:
    return ListVersion(StoreRevision(1, number))


def _engine(*, is_draining: bool) -> Engine:
    return Engine('engine-1', 'desk', '127.0.0.1:1', 'z1', 4, is_draining, 1)


def test_confirmation_of_a_newer_list_does_not_confirm_an_older_one() -> None:
    """Guards against a stale list that counts as current and is not reread."""
    directory = EngineDirectory()
    directory.update(_version(100), [_engine(is_draining=False)])
    directory.confirm(_version(105), 5000)
    assert directory.confirmed_ms == -math.inf


def test_confirmation_of_an_older_list_confirms_a_newer_one() -> None:
    """Guards against unnecessary reads after a list was applied."""
    directory = EngineDirectory()
    directory.confirm(_version(95), 5000)
    directory.update(_version(100), [_engine(is_draining=True)])
    assert directory.confirmed_ms == 5000


def test_older_revision_never_replaces_a_newer_list() -> None:
    """Guards against a slow reader that restores a draining engine."""
    directory = EngineDirectory()
    version = directory.version_for_revision(StoreRevision(1, 100))
    assert version is not None
    directory.update(version, [_engine(is_draining=True)])
    assert directory.version_for_revision(StoreRevision(1, 99)) is None
    again = directory.version_for_revision(StoreRevision(1, 100))
    assert again is not None
    assert again > version
    directory.update(again, [_engine(is_draining=True)])
    later = EngineDirectory().version_for_revision(StoreRevision(1, 101))
    assert later is not None
    assert later > again


def test_engine_is_recognized_as_draining_or_removed() -> None:
    """Guards against grants that are used after their engine was removed."""
    directory = EngineDirectory()
    assert not directory.is_draining_or_removed('engine-1')
    directory.update(_version(1), [_engine(is_draining=False)])
    assert not directory.is_draining_or_removed('engine-1')
    directory.update(_version(2), [_engine(is_draining=True)])
    assert directory.is_draining_or_removed('engine-1')
    directory.update(_version(3), [])
    assert directory.is_draining_or_removed('engine-1')
    directory.update(_version(4), [_engine(is_draining=False)])
    assert directory.is_draining_or_removed('engine-1')
    restarted = _engine(is_draining=False)._replace(born_ms=2)
    directory.update(_version(5), [restarted])
    assert not directory.is_draining_or_removed('engine-1')


def test_peer_that_lacks_a_notice_makes_no_leaving_engine_ready() -> None:
    """Guards against requests to an engine whose leaving is known here."""
    directory = EngineDirectory()
    directory.update(_version(1), [_engine(is_draining=True)])
    peer = EngineDirectory()
    peer.update(ListVersion(StoreRevision(2, 1)), [_engine(is_draining=False)])
    assert directory.update_from_wire(peer.to_wire({}))
    assert directory.engines['engine-1'].is_draining


def test_engine_without_a_start_is_ready_after_it_left() -> None:
    """Guards against a restarted engine that stays unused for ever."""
    directory = EngineDirectory()
    ready = _engine(is_draining=False)._replace(born_ms=0)
    directory.update(_version(1), [ready._replace(is_draining=True)])
    directory.update(_version(2), [])
    directory.update(_version(3), [ready])
    assert not directory.engines['engine-1'].is_draining


def test_list_of_a_later_era_replaces_one_with_a_higher_number() -> None:
    """Guards against a peer of the old era that outvotes the new one."""
    before = EngineDirectory()
    before.update(ListVersion(StoreRevision(4, 900)), [])
    after = EngineDirectory()
    after.update(ListVersion(StoreRevision(5, 30)), [_engine(is_draining=True)])
    assert before.update_from_wire(after.to_wire({}))
    assert before.version == after.version
    assert not after.update_from_wire(EngineDirectory().to_wire({}))


def test_era_of_any_size_is_sent_to_peers() -> None:
    """Guards against an era that does not fit into a message."""
    large = ListVersion(StoreRevision(10**12, 10**12), 3)
    sent = EngineDirectory()
    sent.update(large, [])
    received = EngineDirectory()
    frame = encode_frame(sent.to_wire({}))
    message = message_of(decode_frame(frame[LENGTH_PREFIX.size :]).unwrap())
    assert isinstance(message, EngineList)
    received.update_from_wire(message)
    assert received.version == large


def test_removed_engines_are_known_in_the_next_era_only() -> None:
    """Guards against hiding an engine that registers again in one era."""
    directory = EngineDirectory()
    directory.update(_version(1), [_engine(is_draining=False)])
    directory.update(_version(2), [])
    assert not directory.gone_before(1)
    assert directory.gone_before(2) == {'engine-1': 1}


def test_removed_incarnation_is_known_after_its_engine_has_restarted() -> None:
    """Guards against work for it when the store is restored again."""
    directory = EngineDirectory()
    first = _engine(is_draining=False)
    directory.update(_version(1), [first])
    directory.update(_version(2), [])
    directory.update(_version(3), [first._replace(born_ms=first.born_ms + 1)])
    assert directory.gone_before(2) == {'engine-1': first.born_ms}


def _listing(born_ms: int, name: str = 'engine-1') -> list[Engine]:
    return [Engine(name, 'desk', '127.0.0.1:1', 'z1', 4, False, born_ms)]


def _confirmed_first(*times_ms: float) -> EngineDirectory:
    directory = EngineDirectory()
    directory.update(_version(1), _listing(7))
    for requested_ms in times_ms:
        directory.confirm(_version(1), requested_ms)
    return directory


def _confirmed(*times_ms: float) -> EngineDirectory:
    """Make a directory whose first list was confirmed long before."""
    return _confirmed_first(-3000, -1500, 0, *times_ms)


def test_incarnation_is_listed_until_the_last_confirmation() -> None:
    """Guards against evidence for an incarnation that was never listed."""
    directory = _confirmed(1000, 2500)
    assert directory.listed_until_ms('engine-1', 7, 900) == 2500
    assert directory.listed_until_ms('engine-1', 8, 900) == -math.inf
    assert directory.listed_until_ms('engine-2', 7, 900) == -math.inf


def test_past_incarnation_is_listed_until_it_was_replaced() -> None:
    """Guards against forgetting the engine of a stream once it has ended."""
    directory = _confirmed(1000, 2500)
    directory.confirm(_version(2), 3000)
    directory.update(_version(2), _listing(8))
    directory.confirm(_version(2), 4000)
    assert directory.listed_until_ms('engine-1', 7, 900) == 2500
    assert directory.listed_until_ms('engine-1', 8, 900) == 4000
    directory.update(_version(3), [])
    assert directory.listed_until_ms('engine-1', 8, 900) == 4000


def test_entries_that_may_be_retained_are_no_evidence() -> None:
    """Guards against an entry that outlasts its engine after an outage."""
    directory = _confirmed(1000, 2500, 6000, 7500, 9000)
    assert directory.listed_until_ms('engine-1', 7, 2500) == -math.inf
    assert directory.listed_until_ms('engine-1', 7, 7900) == -math.inf
    assert directory.listed_until_ms('engine-1', 7, 8000) == 9000


def test_first_list_of_a_process_may_follow_an_outage() -> None:
    """Guards against entries that nothing has renewed while it started."""
    book = IncarnationBook(_confirmed_first(10_000).listed_until_ms)
    book.record_statement('engine-2', 1, 10_000)
    assert not book.is_certain('engine-1', 7, 5000)


def test_entries_of_a_restored_store_are_no_evidence() -> None:
    """Guards against an old entry that a restored store lists again."""
    directory = _confirmed(1000, 2500)
    directory.update(ListVersion(StoreRevision(2, 1)), _listing(7))
    directory.confirm(directory.version, 3000)
    assert directory.listed_until_ms('engine-1', 7, 2800) == -math.inf


def test_an_entry_without_a_start_is_evidence_of_one_version_only() -> None:
    """Guards against a version that an unstated restart has replaced."""
    directory = EngineDirectory()
    for number, version in enumerate(('v1', 'v2'), 1):
        listed = [each._replace(version=version) for each in _listing(0)]
        directory.update(_version(number), listed)
        directory.confirm(_version(number), 1000 * number)
    assert directory.listed_until_ms('engine-1', 0, 900) == -math.inf


def test_past_incarnations_are_bounded() -> None:
    """Guards against memory that grows with restarts of engines."""
    directory = _confirmed(1000)
    for number in range(2, 2500):
        directory.update(_version(number), _listing(number + 7))
    assert directory.listed_until_ms('engine-1', 7, 900) == -math.inf
    assert directory.listed_until_ms('engine-1', 2000, 900) == 1000


_ODD_FIELDS: list[dict[str, Any]] = [
    {'address': ''},
    {'address': '127.0.0.1'},
    {'address': '127.0.0.1:0'},
    {'address': '127.0.0.1:65536'},
    {'address': '127.0.0.1:99999999999'},
    {'name': ''},
    {'name': '日本'},
    {'name': 'e\n'},
    {'name': 'e' * 100_000},
    {'cell': 'a\0'},
    {'zone': 'z' * 100_000},
    {'version': '\ud800'},
]


@pytest.mark.parametrize('odd', _ODD_FIELDS)
def test_odd_entry_of_a_peer_leaves_the_others(odd: dict[str, Any]) -> None:
    """Guards against a peer's list that one odd entry makes unusable."""
    peer = EngineDirectory()
    sound = _engine(is_draining=False)
    other = sound._replace(name='engine-2')
    peer.update(_version(100), [sound, other])
    message = peer.to_wire({})
    for name, text in odd.items():
        setattr(message.engines[1], name, text)
    directory = EngineDirectory()
    assert directory.update_from_wire(message)
    assert directory.engines == {'engine-1': sound}
    peer.update(_version(101), [sound._replace(is_draining=True)])
    assert directory.update_from_wire(peer.to_wire({}))
    assert directory.engines['engine-1'].is_draining
