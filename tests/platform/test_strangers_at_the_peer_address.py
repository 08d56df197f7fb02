"""Strangers that connect to the address for other instances."""

from unittest.mock import patch

from curio import sleep
from structlog.testing import capture_logs

from hornbeamdeck.connection.address import Address, async_connect
from tests.platform.fleet import PlatformFleet, on_platform

# Bytes of a frame that is no message, and cannot be read as a text.
ODD_FRAME = b'\x00\x00\x0f\xff' + b'\xff' * 4095
STRANGERS = 40
TIMEOUT_MS = 1000
# Longer than these strangers take altogether.
INTERVAL_MS = 60_000
MAX_LINE_CHARS = 500
INTERVAL = 'hornbeamdeck.membership.peer_server.LOG_INTERVAL_MS'


async def _async_intrude(address: Address) -> None:
    """Send an odd frame, and wait until the connection is closed."""
    sock = (await async_connect(address, timeout_ms=TIMEOUT_MS)).unwrap()
    async with sock:
        await sock.sendall(ODD_FRAME)
        while await sock.recv(len(ODD_FRAME)):
            await sleep(0)


@on_platform()
async def test_refused_strangers_do_not_fill_the_log(
    fleet: PlatformFleet,
) -> None:
    """Guards against a log that grows with what strangers send."""
    address = fleet.gateways[0].components.membership.own_status.peer_address
    with capture_logs() as lines, patch(INTERVAL, INTERVAL_MS):
        for _ in range(STRANGERS):
            await _async_intrude(address)
    refused = [each for each in lines if each['event'] == 'peer refused']
    assert len(refused) == 1
    assert len(str(refused)) < MAX_LINE_CHARS
