"""Which instances are live and who owns a cell."""

from typing import Any
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.platform import ListedInstance, StoredObject
from hornbeamdeck.process import membership as module
from hornbeamdeck.process.membership import InstanceStatus, Membership
from hornbeamdeck.process.rendezvous import owner_of, ranking

NAMES = ('a', 'b', 'c', 'd')
STATES = ('live', 'leaving')
CELLS = ('desk', 'counter')


def status(name: str, state: str = 'live') -> InstanceStatus:
    """Make a status object's content."""
    port = 1000 + ord(name)
    address = Address('127.0.0.1', port)
    return InstanceStatus(name, address, address, f'zone-{name}', 'x', state)


def stored(name: str, state: str = 'live') -> StoredObject:
    """Make a status object."""
    return StoredObject(f'instances/{name}', 1, status(name, state).to_text())


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('status'),
            st.sampled_from(NAMES),
            st.sampled_from(STATES),
        ),
        st.tuples(st.just('gone'), st.sampled_from(NAMES)),
        st.tuples(st.just('suspect'), st.sampled_from(NAMES)),
        st.tuples(st.just('clear'), st.sampled_from(NAMES)),
        st.tuples(st.just('list'), st.sets(st.sampled_from(NAMES))),
        st.tuples(st.just('pass'), st.integers(1, 20_000)),
        st.tuples(st.just('leave')),
    ),
    max_size=40,
)


def _apply(members: Membership, step: tuple[Any, ...]) -> None:
    match step:
        case ('status', name, state):
            members.note_status(stored(name, state))
        case ('gone', name):
            members.note_status(StoredObject(f'instances/{name}', 2, None))
        case ('suspect', name):
            members.suspect(name)
        case ('clear', name):
            members.clear(name)
        case ('list', names):
            members.note_listed(
                tuple(
                    ListedInstance(str(status(name).address), 'live')
                    for name in sorted(names)
                ),
            )
        case ('leave',):
            members.own = members.own._replace(state='leaving')


@given(STEPS)
def test_kept_owner_is_always_the_right_one(
    steps: list[tuple[Any, ...]],
) -> None:
    """The owner of a cell is remembered, to spare the hashing. Were it kept
    past a change, requests would go to an instance that is gone.
    """
    clock = [0.0]
    with mock.patch.object(module, 'now_ms', lambda: clock[0]):
        members = Membership(status('a'))
        members.note_published()
        for step in steps:
            if step[0] == 'pass':
                clock[0] += step[1]
            _apply(members, step)
            live = [each.instance_id for each in members.live()]
            for cell in CELLS:
                expected = owner_of(cell, live) or 'a'
                assert members.owner_of(cell) == expected
                known = [each.instance_id for each in members.known()]
                assert members.ranked(cell) == tuple(
                    ranking(cell, [*known, 'a'])
                )


@given(st.text(max_size=20), st.sets(st.text(max_size=8), min_size=2))
def test_a_member_that_goes_moves_only_its_own_keys(
    key: str,
    members: set[str],
) -> None:
    order = ranking(key, members)
    assert owner_of(key, members) == order[0]
    for gone in order[1:]:
        assert owner_of(key, members - {gone}) == order[0]
    assert owner_of(key, members - {order[0]}) == order[1]


def test_peers_are_kept_while_no_list_can_be_read() -> None:
    """The platform goes down just after an instance has started. Were its
    peers dropped because an old list lacks them, it would think itself alone,
    take every cell, and engines would get twice their limits all morning.
    """
    clock = [0.0]
    with mock.patch.object(module, 'now_ms', lambda: clock[0]):
        members = Membership(status('a'))
        members.note_published()
        members.note_status(stored('b'))
        members.note_listed(())
        clock[0] = 3_600_000
        assert len(members.live()) == 2
        members.note_listed(())
        assert len(members.live()) == 1


def test_entries_prefer_the_own_zone_and_spread() -> None:
    """A hundred callers ask one instance which addresses to use. They must not
    all be sent to the same one, nor to another zone while the own one serves.
    """
    members = Membership(status('a'))
    members.note_published()
    near = status('b')._replace(availability_zone='zone-a')
    members.note_status(StoredObject('instances/b', 1, near.to_text()))
    members.note_status(stored('c'))
    first = [members.entries(f'caller-{each}', 3)[0] for each in range(100)]
    counts = {each.instance_id for each in first}
    assert counts == {'a', 'b'}
    share = sum(each.instance_id == 'a' for each in first)
    assert 25 < share < 75


def test_leaving_instance_is_in_no_answer() -> None:
    members = Membership(status('a'))
    members.note_published()
    members.note_status(stored('b', 'leaving'))
    assert [each.instance_id for each in members.entries('x', 3)] == ['a']


def test_what_can_carry_more_owns_before_all_that_can_carry_less() -> None:
    """Guards against a fleet that is owned by one of its smallest instances."""
    members = Membership(status('a')._replace(cores=0.36))
    for name in NAMES[1:]:
        cores = 0.72 if name == 'd' else 0.36
        told = status(name)._replace(cores=cores).to_text()
        members.note_status(StoredObject(f'instances/{name}', 1, told))
    for number in range(50):
        cell = f'cell-{number}'
        assert members.owner_of(cell) == 'd'
        assert members.ranked(cell)[0] == 'd'
        members.suspect('d')
        assert members.owner_of(cell) != 'd'
        members.clear('d')


def test_an_instance_that_does_not_tell_its_capacity_is_understood() -> None:
    """Guards against a fleet that ignores members of an earlier version."""
    text = '{"instance_id": "a", "address": "127.0.0.1:1", '
    text += '"peer_address": "127.0.0.1:1", "availability_zone": "z", '
    text += '"incarnation": "x", "state": "live"}'
    assert InstanceStatus.from_text(text).cores == 0
