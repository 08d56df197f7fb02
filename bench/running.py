"""One process of a fleet: how it is started, watched and ended."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

from hornbeamdeck.connection.address import Address

START_TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.05
USER_TICKS: Final = 11
SYSTEM_TICKS: Final = 12


class Running(NamedTuple):
    """One started process."""

    process: subprocess.Popen[bytes]
    log: pathlib.Path
    address: Address

    def cpu_s(self) -> float:
        """Tell the processor time used so far, seconds."""
        stat = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
        return ticks / os.sysconf('SC_CLK_TCK')

    def resident_kib(self) -> int:
        """Tell the resident memory, KiB."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(
            each for each in status.splitlines() if each.startswith('VmRSS')
        )
        return int(line.split()[1])

    def log_events(self) -> Iterator[dict[str, Any]]:
        """Read what the process has logged."""
        for line in self.log.read_text().splitlines():
            if line.startswith('{'):
                yield json.loads(line)


def start(
    folder: pathlib.Path,
    name: str,
    arguments: list[str],
    *,
    module: tuple[str, ...] = ('hornbeamdeck',),
) -> Running:
    """Start a process and wait until it listens."""
    log = folder / f'{name}.log'
    with log.open('wb') as sink:
        process = subprocess.Popen(
            [sys.executable, '-m', *module, *arguments],
            stdout=subprocess.DEVNULL,
            stderr=sink,
        )
    running = Running(process, log, Address('127.0.0.1', 0))
    wait_for(lambda: _listening(running) is not None)
    address = _listening(running)
    return running._replace(address=Address.from_text(str(address)))


def _listening(running: Running) -> str | None:
    if running.process.poll() is not None:
        raise RuntimeError(running.log.read_text())
    for event in running.log_events():
        if 'listens' in event['event']:
            return str(event['address'])
    return None


def wait_for(is_done: Callable[[], bool]) -> None:
    """Wait for a condition.

    :raises TimeoutError: where it does not come about.
    """
    until = time.monotonic() + START_TIMEOUT_S
    while not is_done():
        if time.monotonic() > until:
            raise TimeoutError('the fleet did not start')
        time.sleep(POLL_S)


def end(running: Running) -> None:
    """End a process, also one that is stopped."""
    if running.process.poll() is None:
        running.process.send_signal(signal.SIGCONT)
        running.process.kill()
    running.process.wait()
