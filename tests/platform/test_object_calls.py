"""Lists that the store does not return."""

import json
import math
from typing import Any

import curio
import pytest
from result import Ok, Result

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.store_calls import StoreCalls
from hornbeamdeck.connection.store_client import StoreUnavailable
from hornbeamdeck.connection.store_era import StoreEra
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.platform.object_calls import ObjectCalls
from hornbeamdeck.platform.wire_names import HEADER_STORE_ERA
from hornbeamdeck.store.stored_objects import object_name
from tests.platform.standins import StoreStandin
from tests.support import curio_test


@pytest.mark.parametrize('status', [404, 429, 503])
def test_a_list_that_is_refused_counts_as_an_outage(status: int) -> None:
    """Guards against an exception that ends the tasks that follow the store."""

    @curio_test
    async def _async_run() -> None:
        store = StoreStandin()
        store.next_statuses = [status]
        address = await store.async_start()
        calls = ObjectCalls(StoreCalls(address, StoreEra(HEADER_STORE_ERA)))
        assert (await calls.async_list('servers')).is_err()
        assert (await calls.async_list('servers')).is_ok()

    _async_run()


@pytest.mark.parametrize('odd', ['b' * 300, 'b\n', 'b日本', 'b/c &d'])
def test_a_list_goes_on_after_a_page_without_usable_entries(
    odd: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a page of odd entries that ends the list."""
    monkeypatch.setattr('tests.platform.standins.PAGE_ENTRIES', 1)

    @curio_test
    async def _async_run() -> None:
        store = StoreStandin()
        for name in ('a', odd, f'{odd}{odd}', 'z'):
            await store.async_put('servers', name, {})
        address = await store.async_start()
        calls = ObjectCalls(StoreCalls(address, StoreEra(HEADER_STORE_ERA)))
        listed = (await calls.async_list('servers')).unwrap()
        names = [object_name(each) for each in listed.entries]
        assert {'a', 'z'} <= set(names)
        assert store.listings['servers'] == 4

    _async_run()


class _Fixed(StoreCalls):
    """Calls that all get one response."""

    def __init__(self, body: Any) -> None:
        super().__init__(Address('127.0.0.1', 1), StoreEra(HEADER_STORE_ERA))
        self.calls = 0
        self._body = json.dumps(body).encode()

    async def async_call(
        self, request: HttpRequest, **_options: Any
    ) -> Result[HttpResponse, StoreUnavailable]:
        self.calls += 1
        return Ok(HttpResponse(200, {}, self._body))


@pytest.mark.parametrize('has_more', [True, 'false', 1, [0]])
@pytest.mark.parametrize('names', [[], ['\ud800'], [5], ['a']])
def test_a_list_that_does_not_go_on_counts_as_an_outage(
    has_more: object, names: list[object]
) -> None:
    """Guards against a part of a list that is taken for all of it."""
    entries = [{'metadata': {'name': name, 'revision': 1}} for name in names]
    calls = _Fixed({'entries': entries, 'has_more': has_more, 'at': 3})
    assert curio.run(ObjectCalls(calls).async_list, 'servers').is_err()
    assert calls.calls <= 3


@pytest.mark.parametrize('removed', ['false', 2, -1, [], {}, 'x', math.nan])
def test_a_watch_that_leaves_removals_open_counts_as_an_outage(
    removed: object,
) -> None:
    """Guards against sound engines that an odd event removes."""
    event = {
        'object': {'metadata': {'name': 'a', 'revision': 3}},
        'removed': removed,
    }
    calls = ObjectCalls(_Fixed({'events': [event], 'at': 3}))
    since = StoreRevision(0, 2)
    assert curio.run(calls.async_watch, 'servers', since, 1).is_err()
