"""Runs one gateway process until it receives a stop signal."""

import os
import signal
from functools import partial
from typing import Final

import structlog
from curio import UniversalEvent, sleep, spawn
from result import Err, Result

from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.observability.log_buffer import LogBuffer
from hornbeamdeck.observability.logs import setup_logs
from hornbeamdeck.process.gateway import Gateway
from hornbeamdeck.process.gateway_settings import GatewaySettings
from hornbeamdeck.process.platform_adapter import PlatformAdapter
from hornbeamdeck.process.settings import SettingsError, load_settings_file
from hornbeamdeck.process.signals import stop_event
from hornbeamdeck.process.supervision import async_supervise

__all__ = ('async_serve_gateway', 'load_gateway_settings')

_LOGGER = structlog.get_logger(prefix='front')

# The settings file is checked periodically because it may change without a
# signal.
FILE_CHECK_INTERVAL_MS: Final = 1000


def load_gateway_settings(
    path: str,
) -> Result[GatewaySettings, tuple[SettingsError, ...]]:
    """Read and validate the settings file of a gateway process."""
    return load_settings_file(path, GatewaySettings.from_config)


async def async_serve_gateway(
    path: str,
    settings: GatewaySettings,
    adapter: PlatformAdapter,
) -> int:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    :param path: path of the settings file, which is reloaded on changes.
    :returns: how many requests were cut off at the end of the grace period.
    """
    stop_requested = stop_event()
    reload_requested = _reload_event()
    gateway = Gateway(settings, adapter)
    buffer = LogBuffer(gateway.components.metrics.count_dropped_log_line)
    setup_logs(
        level=settings.log_level,
        instance_id=settings.instance_id,
        stream=buffer,
    )
    count = gateway.components.metrics.count_failed_task
    await spawn(async_supervise, buffer.async_run, count, daemon=True)
    await gateway.async_start()
    reload = partial(_async_reload, path, gateway, reload_requested)
    await spawn(async_supervise, reload, count, daemon=True)
    await stop_requested.wait()
    cut_off = await gateway.async_stop()
    buffer.write_out()
    return cut_off


def _reload_event() -> UniversalEvent:
    reload_requested = UniversalEvent()

    def _on_signal(_number: int, _frame: object) -> None:
        reload_requested.set()

    signal.signal(signal.SIGHUP, _on_signal)
    return reload_requested


async def _async_reload(
    path: str,
    gateway: Gateway,
    reload_requested: UniversalEvent,
) -> None:
    """Reload the settings on SIGHUP or when the file has changed."""
    loaded_state = _file_state(path)
    while True:
        await sleep(FILE_CHECK_INTERVAL_MS / MILLIS_PER_SECOND)
        state = _file_state(path)
        if not reload_requested.is_set() and state == loaded_state:
            continue
        reload_requested.clear()
        loaded_state = state
        loaded = load_gateway_settings(path)
        if isinstance(loaded, Err):
            _LOGGER.error(
                'changed settings refused, the old ones stay',
                errors=[str(each) for each in loaded.err_value],
            )
            continue
        gateway.reload(loaded.ok_value)


def _file_state(path: str) -> tuple[int, int]:
    try:
        status = os.stat(path)
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
