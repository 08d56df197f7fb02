"""Two clients compete for a lease; the second gets it when it expires."""

import curio

from hornbeamdeck.coordination import (
    Address,
    Lease,
    LeaseTerms,
    PlatformClient,
)
from hornbeamdeck.standin.platform import async_setup_platform

TERMS = LeaseTerms(duration_ms=300, margin_ms=50)


async def async_main() -> None:
    """Let the first holder stop renewing its lease."""
    _, listener = await async_setup_platform(Address('127.0.0.1', 0))
    store = PlatformClient(listener.address)
    first, second = (
        Lease(store, 'leases/orders', name, terms=TERMS)
        for name in ('first', 'second')
    )
    await first.async_try()
    print('first holds', first.is_held)
    while not (await second.async_try()).unwrap():
        await curio.sleep(0.05)
    print('first holds', first.is_held, '- second holds', second.is_held)
    print('token grew', second.fencing_token > first.fencing_token)
    await store.async_close()
    await listener.async_unload()


if __name__ == '__main__':
    curio.run(async_main)
