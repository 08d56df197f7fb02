"""Runs one instance until it receives a stop signal."""

from hornbeamdeck.process.instance import async_setup_instance
from hornbeamdeck.process.settings import Settings
from hornbeamdeck.process.signals import stop_event

__all__ = ('async_serve',)


async def async_serve(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    :returns: how many requests were cut off at the drain deadline.
    """
    stop_requested = stop_event()
    instance = await async_setup_instance(settings)
    await stop_requested.wait()
    return await instance.async_stop()
