"""Starts, monitors and kills one process of a fleet."""

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
POLL_INTERVAL_S: Final = 0.05
# Positions of utime and stime in /proc/PID/stat, counted from the field after
# the command name.
USER_TICKS_INDEX: Final = 11
SYSTEM_TICKS_INDEX: Final = 12


class ServerProcess(NamedTuple):
    """A started instance or stand-in."""

    process: subprocess.Popen[bytes]
    log_path: pathlib.Path
    address: Address

    def cpu_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        stat = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[USER_TICKS_INDEX]) + int(fields[SYSTEM_TICKS_INDEX])
        return ticks / os.sysconf('SC_CLK_TCK')

    def resident_kib(self) -> int:
        """Return the resident memory, in KiB."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(
            each for each in status.splitlines() if each.startswith('VmRSS')
        )
        return int(line.split()[1])

    def log_events(self) -> Iterator[dict[str, Any]]:
        """Read the events that the process has logged."""
        for line in self.log_path.read_text().splitlines():
            if line.startswith('{'):
                yield json.loads(line)


def start_process(
    folder: pathlib.Path,
    name: str,
    arguments: list[str],
    *,
    module: tuple[str, ...] = ('hornbeamdeck',),
) -> ServerProcess:
    """Start a process and wait until it listens on its port."""
    log_path = folder / f'{name}.log'
    with log_path.open('wb') as log_file:
        process = subprocess.Popen(
            [sys.executable, '-m', *module, *arguments],
            stdout=subprocess.DEVNULL,
            stderr=log_file,
        )
    server = ServerProcess(process, log_path, Address('127.0.0.1', 0))
    wait_until(lambda: _find_address(server) is not None)
    address = _find_address(server)
    return server._replace(address=Address.from_text(str(address)))


def _find_address(server: ServerProcess) -> str | None:
    if server.process.poll() is not None:
        raise RuntimeError(server.log_path.read_text())
    for event in server.log_events():
        if 'listens' in event['event']:
            return str(event['address'])
    return None


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: if it does not hold within the start timeout.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError('the fleet did not become ready in time')
        time.sleep(POLL_INTERVAL_S)


def kill_process(server: ServerProcess) -> None:
    """Kill a process, even if it is suspended by SIGSTOP, and wait for it."""
    if server.process.poll() is None:
        server.process.send_signal(signal.SIGCONT)
        server.process.kill()
    server.process.wait()
