"""Finds out whether an engine has ended, after a connection to it broke."""

from typing import Final

from curio import sleep
from result import Ok

from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.connection.errors import ConnectFailed
from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('async_has_ended',)

# When to connect. An engine that ends may close its connections a moment before
# the address that it listens at.
CHECK_DELAYS_MS: Final = (0, 200)
CONNECT_TIMEOUT_MS: Final = 150


async def async_has_ended(address: str) -> bool:
    """Return whether an engine refuses connections.

    One that does not respond at all is not known to have ended: the network
    path to it may be down.

    :param address: `ip:port`.
    """
    for delay_ms in CHECK_DELAYS_MS:
        await sleep(delay_ms / MILLIS_PER_SECOND)
        connected = await async_connect(
            Address.from_text(address), timeout_ms=CONNECT_TIMEOUT_MS
        )
        if isinstance(connected, Ok):
            await connected.ok_value.close()
        elif _is_refused(connected.err_value):
            return True
    return False


def _is_refused(failed: ConnectFailed) -> bool:
    return not (failed.is_timeout or failed.is_local)
