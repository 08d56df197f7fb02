"""Live instances and the owners of cells."""

from typing import Any
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.store_client import ListedInstance, StoredObject
from hornbeamdeck.membership import membership as membership_module
from hornbeamdeck.membership.membership import InstanceStatus, Membership
from hornbeamdeck.membership.rendezvous import owner_of, ranking

NAMES = ('a', 'b', 'c', 'd')
STATES = ('live', 'leaving')
CELLS = ('desk', 'counter')


def status(name: str, state: str = 'live') -> InstanceStatus:
    """Make the status of an instance."""
    port = 1000 + ord(name)
    address = Address('127.0.0.1', port)
    return InstanceStatus(name, address, address, f'zone-{name}', 'x', state)


def stored(name: str, state: str = 'live') -> StoredObject:
    """Make the stored status object of an instance."""
    return StoredObject(f'instances/{name}', 1, status(name, state).to_text())


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('status'),
            st.sampled_from(NAMES),
            st.sampled_from(STATES),
        ),
        st.tuples(st.just('delete'), st.sampled_from(NAMES)),
        st.tuples(st.just('suspect'), st.sampled_from(NAMES)),
        st.tuples(st.just('clear'), st.sampled_from(NAMES)),
        st.tuples(st.just('list'), st.sets(st.sampled_from(NAMES))),
        st.tuples(st.just('advance clock'), st.integers(1, 20_000)),
        st.tuples(st.just('drain')),
    ),
    max_size=40,
)


def _apply(members: Membership, step: tuple[Any, ...]) -> None:
    match step:
        case ('status', name, state):
            members.apply_status(stored(name, state))
        case ('delete', name):
            members.apply_status(StoredObject(f'instances/{name}', 2, None))
        case ('suspect', name):
            members.suspect(name)
        case ('clear', name):
            members.clear_suspicion(name)
        case ('list', names):
            members.apply_instance_list(
                tuple(
                    ListedInstance(str(status(name).address), 'live')
                    for name in sorted(names)
                ),
            )
        case ('drain',):
            members.own_status = members.own_status._replace(state='leaving')


@given(STEPS)
def test_cached_owner_and_ranking_match_recomputed_ones(
    steps: list[tuple[Any, ...]],
) -> None:
    """The owner of a cell is cached to save hashing. A cache entry that
    outlives a membership change would send requests to an instance that is
    no longer live.
    """
    clock = [0.0]
    with mock.patch.object(membership_module, 'now_ms', lambda: clock[0]):
        members = Membership(status('a'))
        members.mark_published()
        for step in steps:
            if step[0] == 'advance clock':
                clock[0] += step[1]
            _apply(members, step)
            live = [each.instance_id for each in members.live()]
            for cell in CELLS:
                stopping = [each.instance_id for each in members.stopping()]
                expected = owner_of(cell, live or stopping)
                assert members.owner_of(cell) == expected
                known = [each.instance_id for each in members.known_peers()]
                assert members.ranked_ids(cell) == tuple(
                    ranking(cell, [*known, 'a'])
                )


@given(st.text(max_size=20), st.sets(st.text(max_size=8), min_size=2))
def test_removing_a_member_moves_only_its_own_keys(
    key: str,
    members: set[str],
) -> None:
    order = ranking(key, members)
    assert owner_of(key, members) == order[0]
    for removed in order[1:]:
        assert owner_of(key, members - {removed}) == order[0]
    assert owner_of(key, members - {order[0]}) == order[1]


def test_unlisted_peers_stay_live_until_the_list_is_read_again() -> None:
    """The platform goes down just after an instance has started. If the
    instance dropped its peers because an old list lacks them, it would consider
    itself the only member and take over every cell. Engines would then get
    twice their limits for the whole outage.
    """
    clock = [0.0]
    with mock.patch.object(membership_module, 'now_ms', lambda: clock[0]):
        members = Membership(status('a'))
        members.mark_published()
        members.apply_status(stored('b'))
        members.apply_instance_list(())
        clock[0] = 3_600_000
        assert len(members.live()) == 2
        members.apply_instance_list(())
        assert len(members.live()) == 1


def test_entries_prefer_the_own_zone_and_spread_callers() -> None:
    """A hundred callers request addresses from one instance. They must not all
    get the same instance first, nor one in another zone while their own zone
    has live instances.
    """
    members = Membership(status('a'))
    members.mark_published()
    near = status('b')._replace(availability_zone='zone-a')
    members.apply_status(StoredObject('instances/b', 1, near.to_text()))
    members.apply_status(stored('c'))
    first = [members.entries_for(f'caller-{each}', 3)[0] for each in range(100)]
    counts = {each.instance_id for each in first}
    assert counts == {'a', 'b'}
    share = sum(each.instance_id == 'a' for each in first)
    assert 25 < share < 75


def test_draining_instance_is_not_in_entries() -> None:
    members = Membership(status('a'))
    members.mark_published()
    members.apply_status(stored('b', 'leaving'))
    assert [each.instance_id for each in members.entries_for('x', 3)] == ['a']


def test_instance_with_most_cores_owns_cells_first() -> None:
    """Guards against a fleet whose owner is one of its smallest instances."""
    members = Membership(status('a')._replace(cores=0.36))
    for name in NAMES[1:]:
        cores = 0.72 if name == 'd' else 0.36
        text = status(name)._replace(cores=cores).to_text()
        members.apply_status(StoredObject(f'instances/{name}', 1, text))
    for number in range(50):
        cell = f'cell-{number}'
        assert members.owner_of(cell) == 'd'
        assert members.ranked_ids(cell)[0] == 'd'
        members.suspect('d')
        assert members.owner_of(cell) != 'd'
        members.clear_suspicion('d')


def test_status_without_cores_is_parsed() -> None:
    """Guards against a fleet that ignores members of an earlier version."""
    text = '{"instance_id": "a", "address": "127.0.0.1:1", '
    text += '"peer_address": "127.0.0.1:1", "availability_zone": "z", '
    text += '"incarnation": "x", "state": "live"}'
    assert InstanceStatus.from_text(text).cores == 0


def _stop_all(names: str) -> list[Membership]:
    """Make the memberships of instances that all stop."""
    return [_stopping_among(own, names) for own in names]


def _stopping_among(own: str, names: str) -> Membership:
    members = Membership(status(own, 'leaving'))
    for name in names:
        if name != own:
            members.apply_status(stored(name))
            members.apply_status(stored(name, 'leaving'))
    return members


def test_instances_that_all_stop_have_one_owner() -> None:
    """Guards against limits that each stopping instance grants in full."""
    memberships = _stop_all('abcd')
    for cell in CELLS:
        assert len({each.owner_of(cell) for each in memberships}) == 1


def test_next_stopping_instance_owns_when_one_has_ended() -> None:
    """Guards against requests that wait for a stopped owner."""
    survivor = _stopping_among('a', 'abcd')
    owners = []
    for _ in 'bcd':
        owner = survivor.owner_of('desk')
        owners.append(owner)
        if owner != 'a':
            survivor.suspect(owner)
    assert survivor.owner_of('desk') == 'a' or len(set(owners)) == 3


def test_live_instance_owns_before_stopping_ones() -> None:
    """Guards against a new owner that nobody sends its requests to."""
    for members in _stop_all('abc'):
        members.apply_status(stored('d'))
        assert members.owner_of('desk') == 'd'


def test_instance_that_has_stopped_owns_nothing() -> None:
    """Guards against requests that wait for instances removed long ago."""
    with mock.patch.object(membership_module, 'now_ms') as clock:
        clock.return_value = 0.0
        members = _stopping_among('a', 'abcd')
        clock.return_value = 60_000.0
        members.suspect('unknown')
        assert all(members.owner_of(cell) == 'a' for cell in CELLS)


def test_status_under_another_id_leaves_the_owners_known() -> None:
    """Guards against one stored status that ends all tasks of all instances."""
    members = Membership(status('a'))
    members.mark_published()
    members.apply_status(stored('b'))
    odd = status('c')
    for key, instance_id in (('x/d', 'x/d'), ('d', 'e'), ('x/d', 'd')):
        text = odd._replace(instance_id=instance_id).to_text()
        members.apply_status(StoredObject(f'instances/{key}', 1, text))
    live = {each.instance_id for each in members.live()}
    assert live == {'a', 'b', 'x/d'}
    assert members.owner_of('desk') in live
    assert len(members.stopping()) == 1
    members.apply_status(StoredObject('instances/x/d', 2, None))
    assert {each.instance_id for each in members.known_peers()} == {'b'}
