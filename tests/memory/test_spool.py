"""Tests of spooled responses."""

from typing import Final

from curio import TaskTimeout, sleep, socket, spawn, timeout_after
from result import Err, Ok

from hornbeamdeck.clock import now_ms
from hornbeamdeck.memory.budget import MemoryBudget, Purpose
from hornbeamdeck.memory.spool import Spool, SpoolTerms
from hornbeamdeck.memory.spools import Spools
from tests.support import curio_test

# More than the buffers of a pair of sockets take.
LARGE: Final = b'0123456789abcdef' * 65_536
NEVER_MS: Final = 1_000_000
ENOUGH_BYTES: Final = 1_000_000_000


class _Caller:
    """A caller and the spool of its response."""

    def __init__(
        self, spools: Spools, *, rank: int = 0, stall_ms: float = NEVER_MS
    ) -> None:
        sock, caller_sock = socket.socketpair()
        self.sock = caller_sock
        self.was_reset = False
        self.terms = SpoolTerms('id-1', rank, stall_ms)
        self.spool: Spool = spools.open(sock, self.terms, self._async_reset)

    async def async_read(self, wanted: int) -> bytes:
        received = bytearray()
        while len(received) < wanted:
            received += await self.sock.recv(wanted - len(received))
        return bytes(received)

    async def _async_reset(self) -> None:
        self.was_reset = True


def _spools(share_bytes: int = ENOUGH_BYTES) -> Spools:
    """Make spools that may hold so many bytes."""
    return Spools(MemoryBudget(share_bytes * 2))


def _held(spools: Spools) -> int:
    return spools.budget.held_bytes(Purpose.UNREAD_RESPONSES)


@curio_test
async def test_nothing_is_held_for_a_caller_that_reads() -> None:
    spools = _spools()
    caller = _Caller(spools)
    async with caller.spool as spool:
        assert await spool.async_write(b'event', is_last=False) == Ok(None)
        assert not _held(spools)
        assert await caller.async_read(5) == b'event'


@curio_test
async def test_held_bytes_are_delivered_in_order() -> None:
    """Guards against events that overtake what is held."""
    spools = _spools()
    caller = _Caller(spools)
    written = [LARGE, *(b'event %d' % number for number in range(99))]
    async with caller.spool as spool:
        for part in written:
            assert await spool.async_write(part, is_last=False) == Ok(None)
        assert _held(spools) > 0
        whole = b''.join(written)
        reader = await spawn(caller.async_read, len(whole))
        flushed = await spool.async_flush(now_ms() + NEVER_MS, 0)
        assert flushed == Ok(None)
        assert await reader.join() == whole
        assert not _held(spools)
        assert await spool.async_write(b'last', is_last=True) == Ok(None)
        assert await caller.async_read(4) == b'last'


@curio_test
async def test_engine_is_not_read_without_room() -> None:
    """Guards against memory that grows with what callers don't read."""
    spools = _spools(share_bytes=1000)
    caller = _Caller(spools)
    async with caller.spool as spool:
        writer = await spawn(_async_write, spool, LARGE)
        await sleep(0.1)
        assert not writer.terminated
        await caller.async_read(len(LARGE))
        assert await writer.join() == Ok(None)
        assert spool.held_back_ms > 0
    counted = spools.budget.times_without_room
    assert counted == {Purpose.UNREAD_RESPONSES: 1}


async def _async_write(spool: Spool, part: bytes) -> object:
    return await spool.async_write(part, is_last=False)


@curio_test
async def test_end_of_a_response_does_not_wait_for_room() -> None:
    """Guards against a slot that is held after its engine has ended."""
    spools = _spools(share_bytes=1000)
    caller = _Caller(spools)
    async with caller.spool as spool:
        assert await spool.async_write(LARGE, is_last=True) == Ok(None)
        assert _held(spools) > 1000


@curio_test
async def test_nothing_is_left_of_a_cancelled_response() -> None:
    """Guards against bytes that stay counted after their caller has left."""
    spools = _spools(share_bytes=1000)
    caller = _Caller(spools)

    async def _async_respond() -> None:
        async with caller.spool as spool:
            await spool.async_write(LARGE, is_last=False)

    try:
        await timeout_after(0.1, _async_respond)
    except TaskTimeout:
        assert not _held(spools)
    writer = caller.spool._writer
    assert writer is None or writer.terminated
    assert not spools._resets


@curio_test
async def test_least_urgent_stalled_caller_is_disconnected() -> None:
    """Guards against an urgent caller that pays for a less urgent one."""
    spools = _spools(share_bytes=1000)
    urgent = _Caller(spools, rank=0, stall_ms=0)
    other = _Caller(spools, rank=1, stall_ms=0)
    async with urgent.spool, other.spool:
        await urgent.spool.async_write(LARGE, is_last=True)
        await other.spool.async_write(LARGE, is_last=True)
        await sleep(0.01)
        assert not await spools.async_make(urgent.spool)
        assert other.was_reset
        assert not urgent.was_reset
        assert spools.disconnected_callers == 1
        assert _held(spools) == urgent.spool.held_bytes
        written = await other.spool.async_write(b'event', is_last=False)
        assert isinstance(written, Err)


@curio_test
async def test_slowest_caller_is_disconnected() -> None:
    spools = _spools(share_bytes=1000)
    slow = _Caller(spools, stall_ms=10)
    slower = _Caller(spools, stall_ms=10)
    async with slow.spool, slower.spool:
        for each in (slow, slower):
            await each.spool.async_write(LARGE, is_last=True)
        await slow.async_read(len(LARGE) // 2)
        await sleep(0.05)
        await spools.async_make(slow.spool)
        assert slower.was_reset
        assert not slow.was_reset


@curio_test
async def test_first_response_is_held_before_the_others() -> None:
    """Guards against memory that is used up before any engine has ended."""
    spools = _spools(share_bytes=3 * len(LARGE))
    callers = [_Caller(spools), _Caller(spools)]
    async with callers[0].spool, callers[1].spool:
        for each in callers:
            await spawn(_async_write, each.spool, LARGE, daemon=True)
        await sleep(0)
        assert await spools.async_make(callers[0].spool)
        assert not await spools.async_make(callers[1].spool)
        # The first one has stopped to grow.
        await sleep(0.2)
        assert await spools.async_make(callers[1].spool)


@curio_test
async def test_caller_that_has_not_stalled_is_not_disconnected() -> None:
    spools = _spools(share_bytes=1000)
    caller = _Caller(spools)
    async with caller.spool as spool:
        await spool.async_write(LARGE, is_last=True)
        assert not await spools.async_make(spool)
        assert not caller.was_reset


@curio_test
async def test_unread_response_ends_some_time_after_its_deadline() -> None:
    """Guards against responses that are held for callers without end."""
    spools = _spools()
    caller = _Caller(spools)
    async with caller.spool as spool:
        await spool.async_write(LARGE, is_last=True)
        assert isinstance(await spool.async_flush(now_ms(), 10), Err)
        assert not _held(spools)
