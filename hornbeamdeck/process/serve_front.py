"""Runs one front process until it is told to stop."""

import os
import signal
from typing import Final

import structlog
from curio import UniversalEvent, sleep, spawn
from result import Err, Result

from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.process.front import Front
from hornbeamdeck.process.front_parts import FrontWires
from hornbeamdeck.process.front_settings import FrontSettings
from hornbeamdeck.process.log_buffer import LogBuffer
from hornbeamdeck.process.logs import setup_logs
from hornbeamdeck.process.settings import SettingsError, load_checked
from hornbeamdeck.process.signals import stop_event

__all__ = ('async_serve_front', 'load_front_settings')

_LOGGER = structlog.get_logger(prefix='front')

# How often the settings file is looked at; it may change without a signal.
LOOK_MS: Final = 1000


def load_front_settings(
    path: str,
) -> Result[FrontSettings, tuple[SettingsError, ...]]:
    """Read and check the settings file of a front process."""
    return load_checked(path, FrontSettings.from_config)


async def async_serve_front(
    path: str,
    settings: FrontSettings,
    wires: FrontWires,
) -> int:
    """Serve until SIGTERM or SIGINT, then leave as planned.

    :param path: of the settings file, read again when it changes.
    :returns: how many requests were cut off at the end of the grace time.
    """
    told_to_stop = stop_event()
    told_to_reload = _reload_event()
    front = Front(settings, wires)
    buffer = LogBuffer(front.parts.metrics.count_dropped_log_line)
    setup_logs(
        level=settings.log_level,
        instance_id=settings.instance_id,
        stream=buffer,
    )
    await spawn(buffer.async_run, daemon=True)
    await front.async_start()
    await spawn(_async_reload, path, front, told_to_reload, daemon=True)
    await told_to_stop.wait()
    cut_off = await front.async_stop()
    buffer.write_out()
    return cut_off


def _reload_event() -> UniversalEvent:
    told_to_reload = UniversalEvent()

    def _on_signal(_number: int, _frame: object) -> None:
        told_to_reload.set()

    signal.signal(signal.SIGHUP, _on_signal)
    return told_to_reload


async def _async_reload(
    path: str,
    front: Front,
    told_to_reload: UniversalEvent,
) -> None:
    """Read the settings again when told to or when the file has changed."""
    seen = _file_state(path)
    while True:
        await sleep(LOOK_MS / MILLIS_PER_SECOND)
        state = _file_state(path)
        if not told_to_reload.is_set() and state == seen:
            continue
        told_to_reload.clear()
        seen = state
        loaded = load_front_settings(path)
        if isinstance(loaded, Err):
            _LOGGER.error(
                'changed settings refused, the old ones stay',
                errors=[str(each) for each in loaded.err_value],
            )
            continue
        front.reload(loaded.ok_value)


def _file_state(path: str) -> tuple[int, int]:
    try:
        found = os.stat(path)
    except OSError:
        return (0, 0)
    return (found.st_mtime_ns, found.st_size)
