"""Content of the store that other programs have written, or damaged."""

import json
import os
from typing import Any
from unittest.mock import patch

import pytest
from curio import run
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from result import Err, Ok, Result
from structlog.testing import capture_logs

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.connection.store_calls import StoreCalls
from hornbeamdeck.connection.store_client import StoreUnavailable, WatchGap
from hornbeamdeck.connection.store_era import StoreEra
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.membership.membership import InstanceStatus
from hornbeamdeck.platform.documents import parse_configuration
from hornbeamdeck.platform.rollout_store import open_rollout_store
from hornbeamdeck.platform.store import open_store
from hornbeamdeck.platform.wire_names import HEADER_STORE_ERA
from hornbeamdeck.store.engine_directory import EngineDirectory
from hornbeamdeck.store.list_version import ListVersion
from hornbeamdeck.store.store_interface import (
    ConfigurationRead,
    EnginesRead,
    StoredRecord,
)
from hornbeamdeck.wire import encode_frame
from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.standins import StoreStandin

EXAMPLES = int(os.environ.get('ODD_EXAMPLES', '300'))
STATUS_FIELDS = InstanceStatus._fields
PLACEHOLDER = 'of another writer'
DEEP = '[' * 1200 + ']' * 1200
ODD_ZONES = {
    'deep': DEEP,
    'surrogate': r'"\ud800"',
    'long': '9' * 5000,
    'large': json.dumps('z' * 100_000),
}


def _insert(store: StoreStandin, odd: dict[str, str]) -> Any:
    """Let the store send these texts in place of their names."""
    respond = store._async_respond

    async def _async_respond(
        caller: ServerConnection, response: HttpResponse
    ) -> None:
        body = response.body
        for name, text in odd.items():
            placeholder = json.dumps(f'{PLACEHOLDER} {name}').encode()
            body = body.replace(placeholder, text.encode())
        await respond(caller, response._replace(body=body))

    return patch.object(store, '_async_respond', _async_respond)


@on_platform(2)
async def test_odd_entries_do_not_end_the_following_of_engines(
    fleet: PlatformFleet,
) -> None:
    """Guards against one entry that stops all instances for good."""
    valid = fleet.booking_engines[0].entry('counter')
    directories = [each.components.directory for each in fleet.gateways]
    odd = {
        **{
            name: {**valid, 'zone': f'{PLACEHOLDER} {name}'}
            for name in ODD_ZONES
        },
        'slots': {**valid, 'slots': 100_000_000},
        'born': {**valid, 'born': 1 << 64},
        'port': {**valid, 'address': '127.0.0.1:70000'},
        'sequence': {**valid, 'sequence': None},
    }
    with _insert(fleet.store, ODD_ZONES), capture_logs() as lines:
        for name, spec in odd.items():
            await fleet.store.async_put('servers', name, spec)
        # A list is read when a watch can't go on.
        fleet.store.oldest_revision = fleet.store.revision + 1
        leaving = fleet.booking_engines[1]
        entry = leaving.entry('counter', state='draining')
        await fleet.store.async_put('servers', leaving.name, entry)
        await fleet.async_until(
            lambda: all(
                each.engines[leaving.name].is_draining for each in directories
            )
        )
    assert not any(odd.keys() & each.engines.keys() for each in directories)
    ignored = [
        (line['entry'], line['revision'])
        for line in lines
        if line['event'] == 'entry ignored'
    ]
    assert {entry.strip("'") for entry, _ in ignored} == odd.keys()
    counts = [
        each.components.metrics.unusable_entries['servers']
        for each in fleet.gateways
    ]
    assert sum(counts) == len(ignored)
    assert len(ignored) <= len(odd) * len(fleet.gateways)
    assert (await fleet.async_call('/seats/x')).status == 200


# JSON that takes the place of each field of an entry in turn.
ODD_TEXTS = {
    'deep': DEEP,
    'deeper': '[' * 100_000 + ']' * 100_000,
    'long': '9' * 5000,
    'huge': '1e999',
    'negative': '-1e999',
    'no number': 'NaN',
    'infinite': '-Infinity',
    'fraction': '1.5',
    'flag': 'true',
    'surrogate': r'"\ud800"',
    'zero': r'"a\u0000"',
    'beyond': str(1 << 64),
    'slots': str(10**30),
    'empty': '""',
    'port': '"10.0.0.1:99999999999"',
    'twice': '1, "slots": "x"',
    'list': '[{}]',
}
FIELDS = ('service', 'address', 'zone', 'slots', 'state', 'born', 'sequence')
# Any text is a name of a service or a zone, and a zone may have none.
SOUND = {('service', 'port'), ('zone', 'port'), ('zone', 'empty')}


@on_platform(0)
async def test_odd_entries_leave_hundreds_of_sound_ones(
    fleet: PlatformFleet,
) -> None:
    """Guards against odd entries that keep sound ones from being used."""
    store = fleet.store
    sound = {
        f'sound-{number}': fleet.booking_engines[0].entry('other')
        for number in range(600)
    }
    for name, spec in sound.items():
        await store.async_put('servers', name, spec)
    specs = {
        f'odd-{field}-{name}': {
            **sound['sound-0'],
            field: f'{PLACEHOLDER} {name}',
        }
        for field in FIELDS
        for name in ODD_TEXTS
        if (field, name) not in SOUND
    }
    copied = store.copy()

    async def _async_change() -> None:
        for name, spec in specs.items():
            await store.async_put('servers', name, spec)
        await store.async_put('servers', 'no-object', PLACEHOLDER)

    def _are_followed(state: bool) -> bool:  # noqa: FBT001
        directories = [each.components.directory for each in fleet.gateways]
        return all(
            sound.keys() <= each.engines.keys()
            and each.engines['sound-7'].is_draining == state
            for each in directories
        )

    with _insert(store, ODD_TEXTS), capture_logs() as lines:
        await _async_change()
        await fleet.async_add_gateways(2)
        assert _are_followed(state=False)
        await _async_change()
        leaving = {**sound['sound-7'], 'state': 'draining', 'born': 5}
        await store.async_put('servers', 'sound-7', leaving)
        await fleet.async_until(lambda: _are_followed(state=True))
        await store.async_restore(copied)
        await _async_change()
        again = {**sound['sound-7'], 'born': 9}
        await store.async_put('servers', 'sound-7', again)
        await fleet.async_until(lambda: _are_followed(state=False))
    found = {
        name
        for each in fleet.gateways
        for name in each.components.directory.engines
        if name.startswith(('odd', 'no'))
    }
    assert not found
    ignored = [line for line in lines if line['event'] == 'entry ignored']
    assert len(ignored) <= 2 * 3 * (len(specs) + 1)
    for each in fleet.gateways:
        assert not each.components.metrics.failed_tasks
    assert (await fleet.async_call('/seats/x')).status == 200


@on_platform(0)
async def test_entries_of_a_megabyte_leave_the_list_readable(
    fleet: PlatformFleet,
) -> None:
    """Guards against a process that long entries keep from starting."""
    valid = fleet.booking_engines[0].entry('counter')
    for number in range(12):
        spec = {**valid, 'zone': 'z' * 1_000_000}
        await fleet.store.async_put('servers', f'a-large-{number}', spec)
    with patch('tests.platform.standins.PAGE_ENTRIES', 1):
        await fleet.async_add_gateways(1)
    components = fleet.gateways[0].components
    assert len(components.directory.engines) == 4
    assert components.metrics.unusable_entries['servers'] == 12
    assert (await fleet.async_call('/seats/x')).status == 200


_ANY = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda each: (
        st.lists(each, max_size=4)
        | st.dictionaries(
            st.sampled_from(('metadata', 'name', 'revision', 'spec', 'object')),
            each,
        )
    ),
)
_OBJECT = st.fixed_dictionaries(
    {},
    optional={
        'metadata': _ANY
        | st.fixed_dictionaries(
            {'name': _ANY | st.just('e'), 'revision': _ANY | st.just(3)}
        ),
        'spec': _ANY,
        'status': _ANY,
    },
)
_PAGE = st.fixed_dictionaries(
    {},
    optional={
        'entries': st.lists(_OBJECT | _ANY) | _ANY,
        'events': st.lists(
            st.fixed_dictionaries(
                {}, optional={'object': _OBJECT | _ANY, 'removed': _ANY}
            )
            | _ANY
        )
        | _ANY,
        'at': _ANY | st.just(9),
        'has_more': st.just(value=False) | _ANY,
    },
)


class _FixedCalls(StoreCalls):
    """Calls that all get one response."""

    def __init__(self, body: bytes) -> None:
        super().__init__(Address('127.0.0.1', 1), StoreEra(HEADER_STORE_ERA))
        self._body = body

    async def async_call(
        self, request: HttpRequest, **_options: Any
    ) -> Result[HttpResponse, StoreUnavailable]:
        return Ok(HttpResponse(200, {}, self._body))


async def _async_read_all(body: bytes) -> None:
    """Read this in place of everything that the store may return."""
    calls = _FixedCalls(body)
    store, rollouts = open_store(calls), open_rollout_store(calls)
    since = StoreRevision(0, 3)
    address = Address('127.0.0.1', 1)
    status = InstanceStatus('front-0', address, address, 'z1', 'a', 'live')
    for reading in (
        store.read_configuration(),
        store.watch_configuration(since, 1),
        store.list_engines(),
        store.watch_engines(since, 1),
        store.list_instances(),
        store.write_status(status),
        store.delete_status(status),
        store.write_record('name', StoredRecord(since, {})),
        rollouts.list_rollouts(),
        rollouts.watch_rollouts(since, 1),
    ):
        _check_read(await reading)


def _check_read(read: Result[Any, StoreUnavailable | WatchGap]) -> None:
    """Use what was read as its readers do."""
    if isinstance(read, Err):
        assert isinstance(read.err_value, StoreUnavailable | WatchGap)
        return
    found = read.ok_value
    if isinstance(found, ConfigurationRead):
        parse_configuration(found.document or '', 1)
    if isinstance(found, EnginesRead):
        directory = EngineDirectory()
        engines = filter(None, (each.engine for each in found.changes))
        directory.update(ListVersion(found.revision), engines)
        encode_frame(directory.to_wire({}))


@seed(7)
@settings(max_examples=EXAMPLES, deadline=None, database=None)
@given(_PAGE | _OBJECT | _ANY)
def test_any_json_of_the_store_is_read_or_an_outage(found: Any) -> None:
    """Guards against exceptions in the tasks that follow the store."""
    run(_async_read_all, json.dumps(found).encode())


@seed(7)
@settings(max_examples=EXAMPLES, deadline=None, database=None)
@given(st.binary())
def test_any_bytes_of_the_store_are_an_outage(body: bytes) -> None:
    """Guards against exceptions in the tasks that follow the store."""
    run(_async_read_all, body)


@seed(7)
@settings(max_examples=EXAMPLES, deadline=None, database=None)
@given(_ANY | st.fixed_dictionaries(dict.fromkeys(STATUS_FIELDS, _ANY)))
def test_any_status_of_a_peer_is_read_or_a_value_error(found: Any) -> None:
    """Guards against connections to peers that a status ends."""
    try:
        status = InstanceStatus.from_text(json.dumps(found))
    except ValueError:
        return
    assert InstanceStatus.from_text(status.to_text()) == status


@pytest.mark.parametrize('text', [DEEP, '9' * 5000, '{"a":' * 5000])
def test_status_that_is_no_json_is_a_value_error(text: str) -> None:
    """Guards against connections to peers that a status ends."""
    with pytest.raises(ValueError):
        InstanceStatus.from_text(text)
