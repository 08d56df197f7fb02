"""Runs a stand-in as a separate process."""

import structlog
from result import Err, Ok, Result

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.listener import Listener
from hornbeamdeck.process.signals import stop_event
from hornbeamdeck.standin.batch import EngineTiming
from hornbeamdeck.standin.booking import async_setup_booking
from hornbeamdeck.standin.engine import async_setup_engine
from hornbeamdeck.standin.platform import async_setup_platform

__all__ = ('async_run_standin',)

_LOGGER = structlog.get_logger(prefix='standin')


async def async_run_standin(
    kind: str,
    address: str,
    speed: float,
) -> Result[None, str]:
    """Run a stand-in until SIGTERM.

    :param kind: platform, engine or booking.
    :param address: ip:port to listen on.
    :param speed: speed factor of an engine; other kinds ignore it.
    :returns: an error if the kind is unknown or the address is invalid.
    """
    try:
        parsed = Address.from_text(address)
    except ValueError:
        return Err(f'{address}: expected ip:port')
    listener = await _async_setup_standin(kind, parsed, speed)
    if listener is None:
        return Err(f'{kind}: expected platform, engine or booking')
    _LOGGER.info('stand-in listens', address=str(listener.address))
    await stop_event().wait()
    await listener.async_unload()
    return Ok(None)


async def _async_setup_standin(
    kind: str,
    address: Address,
    speed: float,
) -> Listener | None:
    match kind:
        case 'platform':
            _, listener = await async_setup_platform(address)
        case 'engine':
            timing = EngineTiming(speed=speed)
            _, listener = await async_setup_engine(address, timing)
        case 'booking':
            _, listener = await async_setup_booking(address)
        case _:
            return None
    return listener
