"""Clients that send requests at a steady rate, and what they got."""

import asyncio
import random
import time
from collections.abc import Callable
from itertools import count
from typing import Final, NamedTuple

from second.fleet import Gateway
from second.messages import async_call
from second.operator import HOST, KEY, prompt

__all__ = ('Clients', 'Sent', 'Wish')

# Longer than any deadline in these scripts.
PATIENCE_S: Final = 16.0
MILLIS: Final = 1000
OK: Final = 200
_NUMBERS: Final = count(1)


class Wish(NamedTuple):
    """What clients ask for.

    :param method: of the requests.
    :param route: name of the route.
    :param per_s: requests a second, from all clients together.
    :param leave_ms: clients that leave do so within this time.
    """

    method: str
    route: str
    per_s: float
    deadline_ms: int
    leave_ms: float = 0
    counts: str = ''


class Sent(NamedTuple):
    """A request and its answer.

    :param status: 0: the client left, or got no whole answer.
    """

    at_s: float
    request_id: str
    route: str
    gateway: str
    has_left: bool
    status: int

    @property
    def is_served(self) -> bool:
        """Whether the client got a success."""
        return self.status == OK


class Clients:
    """All clients of a script."""

    def __init__(self, gateways: Callable[[], list[Gateway]]) -> None:
        """Send nothing yet.

        :param gateways: returns those that clients may connect to.
        """
        self.sent: list[Sent] = []
        # Share of the clients that leave before their deadline.
        self.leaving_share = 0.0
        self._gateways = gateways
        self._tasks: set[asyncio.Task[None]] = set()
        self._has_ended = False

    def start(self, wish: Wish) -> None:
        """Start to send the requests of one kind."""
        self._keep(asyncio.create_task(self._async_send_all(wish)))

    async def async_end(self) -> None:
        """Send nothing more, and wait for the answers."""
        self._has_ended = True
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _keep(self, task: 'asyncio.Task[None]') -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_send_all(self, wish: Wish) -> None:
        while not self._has_ended:
            self._keep(asyncio.create_task(self._async_send(wish)))
            await asyncio.sleep(random.expovariate(wish.per_s))

    async def _async_send(self, wish: Wish) -> None:
        gateway = random.choice(self._gateways())
        request_id = f'{next(_NUMBERS):016x}'
        has_left = random.random() < self.leaving_share
        headers = {
            'host': HOST,
            'hornbeamdeck-request-id': request_id,
            'hornbeamdeck-deadline-ms': str(wish.deadline_ms),
            'authorization': f'Bearer {KEY}',
        }
        if wish.counts:
            headers |= prompt(request_id, wish.counts)
        patience_s = PATIENCE_S
        if has_left:
            patience_s = random.uniform(0, wish.leave_ms) / MILLIS
        at_s = time.monotonic()
        answer = await async_call(
            gateway.port,
            f'{wish.method} /{wish.route}/{request_id} HTTP/1.1',
            headers,
            patience_s=patience_s,
        )
        status = answer.status if answer else 0
        self.sent.append(
            Sent(at_s, request_id, wish.route, gateway.name, has_left, status)
        )
