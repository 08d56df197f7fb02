"""Callers that send without end and read nothing, in a thread of their own."""

import itertools
import selectors
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from threading import Event, Thread
from time import monotonic
from typing import NamedTuple

from curio import sleep

from hornbeamdeck.connection.address import Address
from tests.platform.gateway_process import GatewayProcess

BYTES_PER_MIB = 1_048_576
BLOCK_BYTES = 65_536
# What the operating system holds for a caller that reads nothing stays small.
CALLER_BUFFER_BYTES = 4096
SAMPLE_S = 0.02
SELECT_S = 0.05
HEX_BASE = 16


class Crowd(NamedTuple):
    """Callers with the same behaviour.

    :param begins: what each sends first on a connection.
    :param repeats: what each then sends again and again; empty: nothing.
    :param piece_bytes: most that one sends at a time.
    :param pause_s: between two times.
    :param id_mark: replaced by another text in each repetition; empty: nothing
        is.
    :param until_s: how long they send and connect again.
    """

    connections: int
    begins: bytes = b''
    repeats: bytes = b''
    piece_bytes: int = BLOCK_BYTES
    pause_s: float = 0
    until_s: float = 3
    id_mark: bytes = b''

    def block(self, caller: int) -> bytes:
        """Return what a caller sends again and again, some 64 KB of it."""
        count = BLOCK_BYTES // max(len(self.repeats), 1) + 1
        if not self.id_mark:
            return self.repeats * count
        return b''.join(
            self.repeats.replace(self.id_mark, b'%d-%d' % (caller, number))
            for number in range(count)
        )


class Usage(NamedTuple):
    """The most that a process has used beside a crowd.

    :param memory_mb: resident, and what the operating system holds of its
        connections: received and unread, or written and not taken.
    """

    memory_mb: float
    descriptors: int


class _Caller:
    """One connection of a crowd."""

    def __init__(self, crowd: Crowd, address: Address, number: int) -> None:
        self._pending = memoryview(crowd.begins)
        self._block = crowd.block(number)
        self._piece_bytes = crowd.piece_bytes
        self.sock = socket.socket()
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES
        )
        self.sock.setblocking(False)
        self.sock.connect_ex(tuple(address))

    def send(self) -> bool:
        """Send the next bytes; return whether there are more."""
        if not self._pending:
            self._pending = memoryview(self._block)
        with suppress(BlockingIOError):
            sent = self.sock.send(self._pending[: self._piece_bytes])
            self._pending = self._pending[sent:]
        return bool(self._pending or self._block)


class _CrowdThread(Thread):
    """Runs a crowd; connections that the process closes are opened again."""

    def __init__(self, crowd: Crowd, address: Address) -> None:
        super().__init__(daemon=True)
        self.leave = Event()
        self._crowd = crowd
        self._address = address
        self._selector = selectors.DefaultSelector()
        self._open: set[socket.socket] = set()
        self._numbers = itertools.count()

    def run(self) -> None:
        """Send until the time is over, then keep the connections open."""
        for _ in range(self._crowd.connections):
            self._connect()
        until_s = monotonic() + self._crowd.until_s
        while monotonic() < until_s and not self.leave.is_set():
            for key, _ in self._selector.select(SELECT_S):
                self._send(key.data)
            self.leave.wait(self._crowd.pause_s)
        self.leave.wait()
        for sock in self._open:
            sock.close()
        self._selector.close()

    def _connect(self) -> None:
        caller = _Caller(self._crowd, self._address, next(self._numbers))
        self._open.add(caller.sock)
        self._selector.register(caller.sock, selectors.EVENT_WRITE, caller)

    def _send(self, caller: _Caller) -> None:
        try:
            has_more = caller.send()
        except OSError:
            self._selector.unregister(caller.sock)
            self._open.discard(caller.sock)
            caller.sock.close()
            self._connect()
            return
        if not has_more:
            # Shows when the process closes the connection.
            self._selector.modify(caller.sock, selectors.EVENT_READ, caller)


@asynccontextmanager
async def async_beside_crowd(
    process: GatewayProcess, *crowds: tuple[Address, Crowd]
) -> AsyncIterator[Usage]:
    """Let crowds send until their time is over; they stay connected then."""
    threads = [_CrowdThread(crowd, address) for address, crowd in crowds]
    for thread in threads:
        thread.start()
    try:
        yield await _async_watch(
            process, max(crowd.until_s for _, crowd in crowds)
        )
    finally:
        for each in threads:
            each.leave.set()
        while any(each.is_alive() for each in threads):
            await sleep(SAMPLE_S)


async def _async_watch(process: GatewayProcess, until_s: float) -> Usage:
    queued_mb = 0.0
    descriptors = 0
    ends_s = monotonic() + until_s
    while monotonic() < ends_s:
        queued_mb = max(queued_mb, _queued_mb(process))
        descriptors = max(descriptors, process.count_descriptors())
        await sleep(SAMPLE_S)
    return Usage(process.peak_mb() + queued_mb, descriptors)


def _queued_mb(process: GatewayProcess) -> float:
    """Return what the operating system holds of a process's connections."""
    ports = {each.port for each in process.addresses}
    lines = Path(f'/proc/{process.pid}/net/tcp').read_text().splitlines()
    return sum(_queued_bytes(line.split(), ports) for line in lines[1:]) / (
        BYTES_PER_MIB
    )


def _queued_bytes(fields: list[str], ports: set[int]) -> int:
    _, _, port = fields[1].partition(':')
    if int(port, HEX_BASE) not in ports:
        return 0
    return sum(int(each, HEX_BASE) for each in fields[4].split(':'))
