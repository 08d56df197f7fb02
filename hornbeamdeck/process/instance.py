"""One running instance: startup and graceful shutdown."""

from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, Final

import structlog
from curio import Task, sleep, socket, spawn

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.listener import (
    Listener,
    ServeConnection,
    async_setup_listener,
)
from hornbeamdeck.connection.request_loop import async_serve_requests
from hornbeamdeck.const import KEY_CONFIGURATION, MILLIS_PER_SECOND
from hornbeamdeck.membership.membership import STATE_DRAINING, InstanceStatus
from hornbeamdeck.membership.peer_server import make_peer_server
from hornbeamdeck.process.connections import ProcessConnections
from hornbeamdeck.process.instance_components import InstanceComponents
from hornbeamdeck.process.settings import Settings
from hornbeamdeck.request.admitted_request import AnswerContext
from hornbeamdeck.request.router import (
    RouterContext,
    make_request_handler,
    refuse_unreadable,
)
from hornbeamdeck.scheduling.shutdown import Shutdown
from hornbeamdeck.store.follower import CONFIGURATION_ROLE, async_follow

__all__ = ('Instance', 'async_setup_instance')

_LOGGER = structlog.get_logger(prefix='instance')

DRAIN_POLL_MS: Final = 50
# Draining ends after this many consecutive polls without pending work.
IDLE_POLLS: Final = 4


class Instance:
    """An instance; tests run several of them in one process."""

    def __init__(self, components: InstanceComponents) -> None:
        """Create the instance; `async_start` opens the addresses."""
        self.components = components
        self.shutdown = Shutdown()
        self.in_flight = 0
        self.connections = ProcessConnections.from_system()
        self._listeners: list[Listener] = []
        self._tasks: list[Task] = []

    @property
    def own(self) -> InstanceStatus:
        """The status that this instance publishes."""
        return self.components.membership.own_status

    async def async_start(self) -> None:
        """Open the addresses, then start the background tasks.

        The store may be down at startup. The tasks retry, and the
        configuration is received later from peers or from the store.
        """
        components = self.components
        callers = await async_setup_listener(
            components.settings.address,
            self._serve_callers(),
            self.connections.callers,
        )
        serve_peer = make_peer_server(
            components.identity,
            components.scheduler,
            components.follower,
            components.snapshots,
            handshakes=self.connections.peers,
        )
        peers = await async_setup_listener(
            components.settings.peer_address,
            serve_peer,
            self.connections.peers,
        )
        self._listeners = [callers, peers]
        components.membership.own_status = self.own._replace(
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
        """Shut down gracefully: drain, hand over ownership, close.

        :returns: how many requests were cut off at the drain deadline.
        """
        components = self.components
        drain_ms = components.settings.drain_ms
        requested_ms = now_ms()
        deadline_ms = requested_ms + drain_ms
        self.shutdown.request(
            requested_ms, grace_ms=drain_ms, ends_ms=deadline_ms
        )
        components.membership.own_status = self.own._replace(
            state=STATE_DRAINING
        )
        _LOGGER.info('planned stop begins', pending=self._pending())
        # This write does not count as pending work: if the store is down, it
        # would delay the shutdown until its deadline although no caller waits
        # for it.
        await self._async_spawn_task(components.membership_sync.async_publish())
        await components.grants.async_move_to_current_owners()
        # Callers cache the list of addresses for this time and continue to
        # connect to this instance.
        ttl_ms = min(components.settings.entries_ttl_ms, drain_ms)
        await sleep(ttl_ms / MILLIS_PER_SECOND)
        await self._listeners[0].async_stop_accepting()
        await self._async_drain(deadline_ms)
        self.shutdown.end()
        cut_off = self._pending()
        if cut_off:
            _LOGGER.error('requests cut off', pending=cut_off)
        await self.async_kill()
        _LOGGER.info('planned stop ends', cut_off=cut_off)
        return cut_off

    async def async_kill(self) -> None:
        """Close everything immediately, as if the process had died."""
        self.components.scheduler.close()
        for task in self._tasks:
            await task.cancel()
        for listener in self._listeners:
            await listener.async_unload()
        await self.components.peers.async_close()
        await self.components.platform.async_close()

    def request_context(self) -> AnswerContext:
        """Return what a request needs, with the current configuration."""
        components = self.components
        return AnswerContext(
            configuration=components.follower.configuration,
            policy=components.policy,
            execution_rights=components.execution_rights,
            metrics=components.metrics,
            background=components.background,
        )

    def _serve_callers(self) -> ServeConnection:
        router_context = RouterContext(
            make_answer_context=self.request_context,
            membership=self.components.membership,
            entries_ttl_ms=self.components.settings.entries_ttl_ms,
            shutdown=self.shutdown,
            caller_connections=self.connections.callers,
            track_in_flight=self._count_in_flight,
        )
        respond = make_request_handler(router_context)

        async def _async_serve(sock: socket.socket) -> None:
            await async_serve_requests(
                sock,
                respond,
                refuse_unreadable,
                bodies=self.components.open_body_account(),
                connections=self.connections.callers,
            )

        return _async_serve

    @contextmanager
    def _count_in_flight(self) -> Iterator[None]:
        self.in_flight += 1
        self.components.metrics.in_flight.set(self.in_flight)
        try:
            yield
        finally:
            self.in_flight -= 1
            self.components.metrics.in_flight.set(self.in_flight)

    async def _async_start_tasks(self) -> None:
        components = self.components
        forever = [
            async_follow(
                components.platform,
                KEY_CONFIGURATION,
                components.follower.async_note,
                role=CONFIGURATION_ROLE,
            ),
            components.follower.async_fetch_hinted(
                components.snapshots.async_fetch_from_peer,
            ),
            components.snapshots.async_fetch_from_seeds(
                components.settings.seed_peers
            ),
            components.execution_rights.claims.async_keep_stored(),
            components.membership_sync.async_follow_statuses(),
            components.membership_sync.async_poll_instance_list(),
            components.scheduler.async_refuse_expired(),
            components.grants.owner_watch.async_run(),
        ]
        if components.settings.policy == 'least_reported_load':
            forever.append(components.reports.async_poll())
        forever.append(components.membership_sync.async_keep_published())
        for coroutine in forever:
            await self._async_spawn_task(coroutine)

    async def _async_spawn_task(
        self, work: Coroutine[Any, Any, object]
    ) -> None:
        self._tasks.append(await spawn(work, daemon=True))

    def _pending(self) -> int:
        return self.in_flight + self.components.background.pending

    async def _async_drain(self, deadline_ms: float) -> None:
        idle_polls = 0
        while idle_polls < IDLE_POLLS and now_ms() < deadline_ms:
            idle_polls = 0 if self._pending() else idle_polls + 1
            await sleep(DRAIN_POLL_MS / MILLIS_PER_SECOND)


async def async_setup_instance(settings: Settings) -> Instance:
    """Create and start an instance; the caller stops it with `async_stop`.

    :raises OSError: if an address can't be bound.
    """
    instance = Instance(InstanceComponents.from_settings(settings))
    await instance.async_start()
    return instance
