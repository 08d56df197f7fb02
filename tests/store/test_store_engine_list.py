"""Tests of the engine list across outages of the store."""

from hornbeamdeck.store.store_engine_list import OUTAGE_MS, StoreEngineList
from hornbeamdeck.store.store_interface import EngineChange
from tests.scheduling.engine_cell_factories import engine

BOTH = (
    EngineChange('e1', engine('e1')),
    EngineChange('e2', engine('e2')),
)
CURRENT = {'e1': engine('e1'), 'e2': engine('e2')}


def _usable(engine_list: StoreEngineList, now: float) -> set[str]:
    return set(engine_list.usable_engines(now))


def _engine_list() -> StoreEngineList:
    """Return a list that read both engines long ago."""
    engine_list = StoreEngineList()
    engine_list.apply_list(BOTH, {}, confirmation_age_ms=0, now=0)
    return engine_list


def test_removed_entry_is_dropped_immediately() -> None:
    engine_list = _engine_list()
    engine_list.apply_changes([EngineChange('e1', None)], 1000)
    assert _usable(engine_list, 1000) == {'e2'}


def test_entries_that_expired_during_an_outage_are_retained() -> None:
    """The store was down and its entries expired. After the outage its list is
    empty although all engines are running; they register again within two
    seconds.
    """
    engine_list = _engine_list()
    engine_list.apply_list((), CURRENT, confirmation_age_ms=9000, now=10_000)
    assert _usable(engine_list, 10_500) == {'e1', 'e2'}
    engine_list.apply_changes([BOTH[0]], 11_000)
    assert _usable(engine_list, 12_500) == {'e1'}


def test_draining_engine_is_not_retained() -> None:
    engine_list = StoreEngineList()
    draining = engine('e1', is_draining=True)
    engine_list.apply_list(
        [EngineChange('e1', draining)], {}, confirmation_age_ms=0, now=0
    )
    engine_list.apply_list(
        (), {'e1': draining}, confirmation_age_ms=9000, now=10_000
    )
    assert not _usable(engine_list, 10_100)


def test_engines_received_from_a_peer_are_retained() -> None:
    """An instance starts to read the store itself right after an outage. It
    received its engines from a peer; the expired list must not remove them.
    """
    engine_list = StoreEngineList()
    current = {'e1': engine('e1')}
    engine_list.apply_list((), current, confirmation_age_ms=9000, now=10_000)
    assert _usable(engine_list, 10_100) == {'e1'}


def test_rejected_instance_does_not_restore_removed_engines() -> None:
    """The store rejected this instance's calls for seconds while it served the
    peers. Meanwhile one engine stopped without draining, and the peers have
    reported this. When this instance reads the list again, it must not restore
    the engine from an old copy: requests would be sent to it seconds after it
    stopped.
    """
    engine_list = _engine_list()
    reported_by_peers = {'e2': engine('e2')}
    engine_list.apply_list(
        (BOTH[1],), reported_by_peers, confirmation_age_ms=400, now=10_000
    )
    assert _usable(engine_list, 10_000) == {'e2'}


def test_engine_removed_while_only_own_calls_are_rejected_is_dropped() -> None:
    """As above, but the engine stops so late that no peer has reported it yet.
    The store served the peers, so it was not down and its list is correct.
    """
    engine_list = _engine_list()
    engine_list.apply_list(
        (BOTH[1],), CURRENT, confirmation_age_ms=OUTAGE_MS / 2, now=10_000
    )
    assert _usable(engine_list, 10_000) == {'e2'}


def test_engine_that_leaves_is_not_ready_again_in_an_older_copy() -> None:
    """Guards against a notice of leaving that a restored store has lost."""
    engine_list = _engine_list()
    current = {**CURRENT, 'e1': engine('e1', is_draining=True)}
    engine_list.apply_list(
        BOTH, current, confirmation_age_ms=0, restored_ms=10_000, now=10_000
    )
    assert engine_list.usable_engines(10_000)['e1'].is_draining
    engine_list.apply_changes([BOTH[0]], 11_000)
    assert engine_list.usable_engines(11_000)['e1'].is_draining


def test_engine_that_starts_again_does_not_leave() -> None:
    """Guards against a notice that outlasts the incarnation that gave it."""
    engine_list = _engine_list()
    current = {**CURRENT, 'e1': engine('e1', is_draining=True)}
    engine_list.apply_list(
        BOTH, current, confirmation_age_ms=0, restored_ms=10_000, now=10_000
    )
    restarted = engine('e1')._replace(born_ms=99)
    engine_list.apply_changes([EngineChange('e1', restarted)], 11_000)
    assert not engine_list.usable_engines(11_000)['e1'].is_draining


def test_removed_engine_is_unused_until_it_writes_again() -> None:
    """Guards against an engine that is gone and listed by an older copy."""
    engine_list = _engine_list()
    gone = {'e1': engine('e1').born_ms}
    engine_list.apply_list(
        BOTH,
        {'e2': engine('e2')},
        gone=gone,
        confirmation_age_ms=0,
        restored_ms=10_000,
        now=10_000,
    )
    assert _usable(engine_list, 12_000) == {'e2'}
    engine_list.apply_changes([BOTH[0]], 12_100)
    assert _usable(engine_list, 12_100) == {'e1', 'e2'}


def test_engines_that_an_older_copy_lacks_are_retained() -> None:
    """Guards against refusals until engines have registered again."""
    engine_list = _engine_list()
    engine_list.apply_list(
        (BOTH[1],),
        CURRENT,
        confirmation_age_ms=100,
        restored_ms=10_000,
        now=10_500,
    )
    assert _usable(engine_list, 11_900) == {'e1', 'e2'}
    assert _usable(engine_list, 12_100) == {'e2'}


def test_engine_that_was_gone_is_not_retained_when_it_is_removed_again() -> (
    None
):
    """Guards against work for an engine that is gone after a restore."""
    engine_list = StoreEngineList()
    engine_list.apply_list(
        BOTH,
        {},
        gone={'e1': engine('e1').born_ms},
        restored_ms=1000,
        confirmation_age_ms=0,
        now=1000,
    )
    assert _usable(engine_list, 1000) == {'e2'}
    engine_list.apply_changes([EngineChange('e1', None)], 1500)
    assert _usable(engine_list, 1500) == {'e2'}
