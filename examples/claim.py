"""Runs a payment at most once, although it is sent twice."""

import curio

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.coordination import (
    Address,
    Background,
    ClaimCall,
    Claims,
    Once,
    PlatformClient,
    Recorded,
)
from hornbeamdeck.standin.platform import async_setup_platform


async def async_pay(claims: Claims, payments: list[str]) -> str:
    """Pay, unless a payment with this idempotency key has already run."""
    call = ClaimCall('claims/shop/42', 'digest-of-the-call', now_ms() + 2000)
    match (await claims.async_claim(call)).unwrap():
        case Once() as once:
            payments.append('paid')
            await once.record(HttpResponse(201, {}, b'receipt 1'))
            return 'receipt 1'
        case Recorded(response):
            return response.body.decode()


async def async_main() -> None:
    """Send the same payment over two clients."""
    _, listener = await async_setup_platform(Address('127.0.0.1', 0))
    background = Background()
    payments: list[str] = []
    for _ in range(2):
        store = PlatformClient(listener.address)
        receipt = await async_pay(Claims(store, background), payments)
        while background.pending:
            await curio.sleep(0.01)
        await store.async_close()
        print(receipt, 'after', len(payments), 'payment')
    await listener.async_unload()


if __name__ == '__main__':
    curio.run(async_main)
