"""A caller that takes up streams again, and fleets of several versions."""

from typing import Protocol

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.request.event_parser import EventParser
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    load_at,
    make_request,
)
from tests.platform.standins import EngineStandin

RESUMABLE_PATH = '/guide/x'


class Entrance(Protocol):
    """What callers connect to."""

    async def async_open(self, gateway: int = 0) -> ClientConnection:
        """Open a client connection to a gateway."""


class StreamCaller:
    """Reads one stream, in several attempts if its connection breaks."""

    def __init__(self, fleet: Entrance, request_id: str) -> None:
        """Start without a connection.

        :param request_id: the id of the first attempt.
        """
        self.request_id = request_id
        self.words: list[int] = []
        self.versions: set[str] = set()
        # Of the last response.
        self.retry_after_s = 0.0
        self._fleet = fleet
        self._attempts = 0
        self._parser = EventParser()
        self._connection: ClientConnection | None = None
        self._is_complete = False

    async def async_request(self, gateway: int, **headers: str) -> int:
        """Send an attempt and return the status of its response."""
        self._attempts += 1
        attempt_id = self.request_id
        if self._attempts > 1:
            attempt_id = f'{self.request_id}-{self._attempts}'
        self._parser = EventParser()
        self._connection = await self._fleet.async_open(gateway)
        request = make_request(
            RESUMABLE_PATH,
            tokens=TOKEN_COUNTS,
            hornbeamdeck_request_id=attempt_id,
            **headers,
        )
        (await self._connection.async_send(request)).unwrap()
        head = (await self._connection.async_read_head()).unwrap()
        self.retry_after_s = float(head.headers.get('retry-after', '0'))
        return head.status

    async def async_begin(self, gateway: int, *, events: int = 1) -> None:
        """Begin the stream and read some events."""
        assert await self.async_request(gateway) == 200
        while len(self.words) < events:
            assert await self._async_read_events()

    async def async_resume(self, gateway: int) -> int:
        """Take the stream up again and read it to its end.

        :returns: the status of the response.
        """
        await self.async_leave()
        status = await self.async_request(
            gateway, last_event_id=str(self.words[-1]), resumes=self.request_id
        )
        if status == 200:
            await self.async_read_all()
        return status

    async def async_resume_part(self, gateway: int, *, until: int) -> None:
        """Take the stream up again and read it up to an event."""
        status = await self.async_request(
            gateway, last_event_id=str(self.words[-1]), resumes=self.request_id
        )
        assert status == 200
        while self.words[-1] < until:
            assert await self._async_read_events()

    async def async_read_all(self) -> bool:
        """Read to the end; return whether the response is complete."""
        has_more = True
        while has_more:
            has_more = await self._async_read_events()
        return self._is_complete

    async def async_leave(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            await self._connection.async_close()

    async def _async_read_events(self) -> bool:
        """Read a part of the response; return whether there may be more."""
        assert self._connection is not None
        chunk = await self._connection.async_read_chunk()
        received = chunk.ok()
        self._is_complete = received == b''
        if not received:
            return False
        for event in self._parser.add_chunk(received):
            _, number, version = event.encoded.split(b'data: ')[1].split()
            self.words.append(int(number))
            self.versions.add(version.decode())
        return True


async def async_set_versions(
    fleet: PlatformFleet, versions: dict[EngineStandin, str]
) -> None:
    """Start engines again at these versions, and wait until all know."""
    for engine, version in versions.items():
        engine.run_version(version, born=2)
        entry = engine.entry('desk')
        await fleet.store.async_put('servers', engine.name, entry)
    await fleet.async_until(
        lambda: all(
            engine.name in gateway.components.cells.cells['desk'].loads
            and load_at(gateway, engine).engine.version == version
            for gateway in fleet.gateways
            for engine, version in versions.items()
        )
    )
    # New versions get streams once they are recorded.
    history = fleet.owner.components.cells.cells['desk'].origins.history
    await fleet.async_until(
        lambda: not history.unrecorded(now_ms(), is_resumable=True)
    )
