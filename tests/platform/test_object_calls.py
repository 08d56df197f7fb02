"""Lists that the store does not return."""

import pytest

from hornbeamdeck.connection.store_calls import StoreCalls
from hornbeamdeck.connection.store_era import StoreEra
from hornbeamdeck.platform.object_calls import ObjectCalls
from hornbeamdeck.platform.wire_names import HEADER_STORE_ERA
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
