"""One running instance: opens its addresses and takes them down in order."""

from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, Final

import structlog
from curio import Task, sleep, socket, spawn

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.exchange import async_serve_requests
from hornbeamdeck.connection.listener import (
    Listener,
    ServeConnection,
    async_setup_listener,
)
from hornbeamdeck.const import KEY_CONFIGURATION, MILLIS_PER_SECOND
from hornbeamdeck.process.follower import ROLE, async_follow
from hornbeamdeck.process.membership import STATE_LEAVING, InstanceStatus
from hornbeamdeck.process.parts import Parts
from hornbeamdeck.process.peer_server import make_peer_server
from hornbeamdeck.process.settings import Settings
from hornbeamdeck.request.answer import Answering
from hornbeamdeck.request.router import (
    Routing,
    make_answer,
    refuse_unreadable,
)

__all__ = ('Instance', 'async_setup_instance')

_LOGGER = structlog.get_logger(prefix='instance')

DRAIN_POLL_MS: Final = 50
QUIET_POLLS: Final = 4


class Instance:
    """A running instance process, or one of several in a test."""

    def __init__(self, parts: Parts) -> None:
        """Take the parts; `async_start` opens the addresses."""
        self.parts = parts
        self.is_leaving = False
        self.in_flight = 0
        self._listeners: list[Listener] = []
        self._tasks: list[Task] = []

    @property
    def own(self) -> InstanceStatus:
        """What this instance tells of itself."""
        return self.parts.membership.own

    async def async_start(self) -> None:
        """Open the addresses, then begin to follow the platform.

        The platform may be down: everything here goes on trying, and peers
        or the platform bring the configuration later.
        """
        parts = self.parts
        callers = await async_setup_listener(
            parts.settings.address,
            self._serve_callers(),
        )
        serve_peer = make_peer_server(
            parts.identity,
            parts.scheduler,
            parts.follower,
            parts.snapshots,
        )
        peers = await async_setup_listener(
            parts.settings.peer_address,
            serve_peer,
        )
        self._listeners = [callers, peers]
        parts.membership.own = self.own._replace(
            address=callers.address,
            peer_address=peers.address,
        )
        await self._async_start_tasks()
        _LOGGER.info(
            'instance listens',
            address=str(callers.address),
            peer_address=str(peers.address),
        )

    async def async_stop(self) -> int:
        """Leave as planned: drain, hand over, close.

        :returns: how many requests were cut off at the drain deadline.
        """
        parts = self.parts
        self.is_leaving = True
        parts.membership.own = self.own._replace(state=STATE_LEAVING)
        _LOGGER.info('planned stop begins', pending=self._pending())
        # Not counted as work to be drained: with the platform down it would
        # hold the stop until its deadline though no caller waits for it.
        await self._async_spawn_task(parts.presence.async_publish())
        await parts.grants.async_review()
        deadline_ms = now_ms() + parts.settings.drain_ms
        # Callers keep an addresses answer so long and connect here meanwhile.
        ttl_ms = min(parts.settings.entries_ttl_ms, parts.settings.drain_ms)
        await sleep(ttl_ms / MILLIS_PER_SECOND)
        await self._listeners[0].async_stop_accepting()
        await self._async_drain(deadline_ms)
        cut_off = self._pending()
        if cut_off:
            _LOGGER.error('requests cut off', pending=cut_off)
        await self.async_kill()
        _LOGGER.info('planned stop ends', cut_off=cut_off)
        return cut_off

    async def async_kill(self) -> None:
        """Close everything at once, as a dying process would."""
        for task in self._tasks:
            await task.cancel()
        for listener in self._listeners:
            await listener.async_unload()
        await self.parts.peers.async_close()
        await self.parts.platform.async_close()

    def answering(self) -> Answering:
        """Give a request its parts, with the configuration in force now."""
        parts = self.parts
        return Answering(
            configuration=parts.follower.configuration,
            policy=parts.policy,
            once=parts.once,
            metrics=parts.metrics,
            background=parts.background,
        )

    def _serve_callers(self) -> ServeConnection:
        routing = Routing(
            answering=self.answering,
            membership=self.parts.membership,
            entries_ttl_ms=self.parts.settings.entries_ttl_ms,
            is_leaving=lambda: self.is_leaving,
            in_flight=self._count_in_flight,
        )
        answer = make_answer(routing)

        async def _async_serve(sock: socket.socket) -> None:
            await async_serve_requests(sock, answer, refuse_unreadable)

        return _async_serve

    @contextmanager
    def _count_in_flight(self) -> Iterator[None]:
        self.in_flight += 1
        self.parts.metrics.in_flight.set(self.in_flight)
        try:
            yield
        finally:
            self.in_flight -= 1
            self.parts.metrics.in_flight.set(self.in_flight)

    async def _async_start_tasks(self) -> None:
        parts = self.parts
        forever = [
            async_follow(
                parts.platform,
                KEY_CONFIGURATION,
                parts.follower.async_note,
                role=ROLE,
            ),
            parts.follower.async_fetch_hinted(
                parts.snapshots.async_take_from_peer,
            ),
            parts.snapshots.async_seed(parts.settings.seed_peers),
            parts.presence.async_follow_statuses(),
            parts.presence.async_poll_list(),
            parts.scheduler.async_sweep(),
            parts.grants.watch.async_run(),
        ]
        if parts.settings.policy == 'least_reported_load':
            forever.append(parts.reports.async_poll())
        forever.append(parts.presence.async_publish())
        for coroutine in forever:
            await self._async_spawn_task(coroutine)

    async def _async_spawn_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(await spawn(work, daemon=True))

    def _pending(self) -> int:
        return self.in_flight + self.parts.background.pending

    async def _async_drain(self, deadline_ms: float) -> None:
        quiet = 0
        while quiet < QUIET_POLLS and now_ms() < deadline_ms:
            quiet = 0 if self._pending() else quiet + 1
            await sleep(DRAIN_POLL_MS / MILLIS_PER_SECOND)


async def async_setup_instance(settings: Settings) -> Instance:
    """Start an instance; its `async_stop` is what undoes it.

    :raises OSError: where an address can't be bound.
    """
    instance = Instance(Parts.from_settings(settings))
    await instance.async_start()
    return instance
