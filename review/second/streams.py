"""Clients that take their streams up again, as PROTOCOL.md describes them."""

import asyncio
import random
import time
from collections.abc import Callable
from itertools import count
from typing import Final, NamedTuple

from second.fleet import Gateway
from second.messages import BLANK_LINE, LOOPBACK, encode
from second.operator import HOST, KEY, prompt

__all__ = ('Event', 'StreamClient')

DEADLINE_S: Final = 12.0
MILLIS: Final = 1000
MOST_TRIES: Final = 6
# Pause before the next try, on a new connection.
PAUSE_S: Final = 0.5
# Clients abandon a stream after a gap of eight times its pause.
MOST_GAP_S: Final = 4.0
HEX_BASE: Final = 16
OK: Final = 200
_NUMBERS: Final = count(1)


class Event(NamedTuple):
    """An event as the client got it."""

    number: int
    version: str


class StreamClient:
    """One client with one stream."""

    def __init__(self, gateways: Callable[[], list[Gateway]]) -> None:
        """Start without events.

        :param gateways: returns those that clients may connect to.
        """
        self.events: list[Event] = []
        self.tries: list[str] = []
        self.is_complete = False
        self._gateways = gateways
        self._begun_by = ''
        self._until_s = time.monotonic() + DEADLINE_S

    @property
    def versions(self) -> list[str]:
        """The versions that its events name."""
        return sorted({each.version for each in self.events})

    async def async_run(self) -> None:
        """Send the request, and take the stream up again where it breaks."""
        while not self.is_complete and len(self.tries) < MOST_TRIES:
            if self.tries:
                await asyncio.sleep(PAUSE_S)
            await self._async_try()

    async def _async_try(self) -> None:
        gateway = random.choice(self._gateways())
        request_id = f'{next(_NUMBERS):016x}'
        had = len(self.events)
        status = 0
        try:
            reader, writer = await asyncio.open_connection(
                LOOPBACK, gateway.port
            )
        except OSError:
            self._note_try(request_id, gateway, 'no connection', had)
            return
        try:
            writer.write(self._request(request_id))
            head = await asyncio.wait_for(
                reader.readuntil(BLANK_LINE), MOST_GAP_S
            )
            status = int(head.split()[1])
            if status == OK:
                await self._async_read_events(reader, request_id)
        except (OSError, EOFError, ValueError):
            # The connection has broken, or nothing came for too long.
            self.is_complete = False
        finally:
            writer.transport.abort()
        self._note_try(request_id, gateway, str(status), had)

    async def _async_read_events(
        self, reader: asyncio.StreamReader, request_id: str
    ) -> None:
        while True:
            line = await asyncio.wait_for(reader.readline(), MOST_GAP_S)
            size = int(line, base=HEX_BASE)
            chunk = await reader.readexactly(size + len(b'\r\n'))
            if not size:
                self.is_complete = True
                return
            self._begun_by = self._begun_by or request_id
            for text in chunk.decode().strip().split('\n\n'):
                number, version = (
                    line.partition(': ')[-1] for line in text.split('\n')
                )
                self.events.append(Event(int(number), version))

    def _request(self, request_id: str) -> bytes:
        left_ms = int((self._until_s - time.monotonic()) * MILLIS)
        headers = {
            'host': HOST,
            'hornbeamdeck-request-id': request_id,
            'hornbeamdeck-deadline-ms': str(max(left_ms, 1)),
            **prompt(request_id, '628,360'),
            'authorization': f'Bearer {KEY}',
        }
        if self.events:
            headers['last-event-id'] = str(self.events[-1].number)
            headers['resumes'] = self._begun_by
        return encode('POST /field/note HTTP/1.1', headers)

    def _note_try(
        self, request_id: str, gateway: Gateway, outcome: str, had: int
    ) -> None:
        got = len(self.events) - had
        self.tries.append(
            f'{request_id} to {gateway.name}: {outcome}, {got} events'
        )
