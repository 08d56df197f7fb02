"""One running gateway process: startup, endpoints and graceful shutdown."""

from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from http import HTTPStatus
from typing import Final

import structlog
from curio import Task, sleep, socket, spawn

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.connection_pool import ConnectionPool
from hornbeamdeck.connection.errors import BadRequest
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.listener import Listener, async_setup_listener
from hornbeamdeck.connection.reader import ReadLimits
from hornbeamdeck.connection.request_loop import async_serve_requests
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.engines.engine_dialer import EngineDialer
from hornbeamdeck.engines.engine_liveness import make_liveness_check
from hornbeamdeck.engines.incarnation_check import (
    IncarnationCheck,
    make_incarnation_question,
)
from hornbeamdeck.engines.relayed_statements import (
    async_apply_relayed,
    make_statement_recorder,
)
from hornbeamdeck.engines.send_guard import SendGuard
from hornbeamdeck.engines.tunnel_server import TunnelServer
from hornbeamdeck.membership.heartbeat_pace import MIN_HEARTBEAT_INTERVAL_MS
from hornbeamdeck.membership.instance_registration import InstanceRegistration
from hornbeamdeck.membership.liveness import FLEET_CELL
from hornbeamdeck.membership.membership import STATE_DRAINING
from hornbeamdeck.membership.peer_server import make_peer_server
from hornbeamdeck.memory.budget import Purpose
from hornbeamdeck.observability.metrics_endpoint import make_metrics_endpoint
from hornbeamdeck.ownership.spending import ReturnTokens
from hornbeamdeck.process.connections import ProcessConnections
from hornbeamdeck.process.gateway_components import GatewayComponents
from hornbeamdeck.process.gateway_endpoints import async_serve_endpoint
from hornbeamdeck.process.gateway_settings import GatewaySettings
from hornbeamdeck.process.platform_adapter import PlatformAdapter
from hornbeamdeck.process.supervision import (
    TaskFailures,
    Work,
    async_supervise,
)
from hornbeamdeck.request.engine_end_check import EngineEndCheck
from hornbeamdeck.request.gateway_admission import GatewayAdmission
from hornbeamdeck.request.gateway_answer import async_run_gateway_request
from hornbeamdeck.request.gateway_context import GatewayContext
from hornbeamdeck.request.gateway_handler import (
    make_gateway_handler,
    refuse_unreadable,
)
from hornbeamdeck.scheduling.queued_request import Deliver
from hornbeamdeck.scheduling.shutdown import Shutdown
from hornbeamdeck.store.freshness_guard import (
    FreshnessDependencies,
    FreshnessGuard,
)
from hornbeamdeck.wire import Message, RecordCopy, RelayedStatement

__all__ = ('Gateway',)

_LOGGER = structlog.get_logger(prefix='front')

# Callers may cache the list of addresses for up to this many times its time to
# live.
ENTRIES_CACHE_TTLS: Final = 3
# A graceful shutdown ends this long before the platform kills the process.
SHUTDOWN_MARGIN_MS: Final = 700
DRAIN_POLL_MS: Final = 50
# Time for callers to get the refusals with which a planned stop ends, a part of
# the shutdown margin.
REFUSAL_WRITE_MS: Final = 100
# Interval at which the owner logs the load of its engines.
LOAD_LOG_INTERVAL_MS: Final = 2000
# Longest time from the first to the last byte of a request.
REQUEST_READ_TIMEOUT_MS: Final = 15_000


class Gateway:
    """A gateway process; tests run several of them in one process."""

    def __init__(
        self, settings: GatewaySettings, adapter: PlatformAdapter
    ) -> None:
        """Create the components; `async_start` opens the addresses."""
        self.settings = settings
        self.components = GatewayComponents.from_settings(settings, adapter)
        self.freshness_guard = FreshnessGuard(
            FreshnessDependencies(
                freshness=self.components.freshness,
                directory=self.components.directory,
                configuration_version=self.components.identity.configuration_version,
                bounds=lambda: self.settings.bounds,
                read_configuration=self.components.reader.async_read_configuration,
                read_engines=self.components.reader.async_read_engines,
            ),
        )
        self.shutdown = Shutdown()
        self.in_flight = 0
        self.spools = self.components.spools
        self.dialer = EngineDialer(
            self.components.identity,
            settings.availability_zone,
            self.components.heartbeats.liveness.serving_instances,
            self.spools.incoming.open,
        )
        self._incarnation_check = IncarnationCheck(
            self.components.incarnations,
            make_incarnation_question(self.dialer, adapter.dialect),
        )
        self.components.scheduler.set_incarnation_check(
            self._incarnation_check.async_verdict
        )
        memory = self.components.fleet_memory
        memory.confirmation.set_callback(
            self.components.scheduler.async_evaluate_cells
        )
        self.components.scheduler.set_version_requests(
            confirm=memory.confirmation.async_request,
            record=memory.async_request_records,
        )
        self._send_guard = SendGuard(
            self.freshness_guard,
            self.components.directory,
            self.components.grants.engine_statements,
            self._is_rolled_back,
        )
        self.tunnels = TunnelServer(
            self.dialer,
            self._send_guard,
            lambda: self.shutdown.is_requested,
            lambda: self.spools.budget.open_account(Purpose.TUNNELS),
        )
        self._adapter = adapter
        self._registration = InstanceRegistration(
            self.components.store,
            self.components.membership,
            self.components.heartbeats.liveness.is_told_of_all,
            era=lambda: self.components.newest_era,
            rank=self.components.heartbeats.liveness.rank,
        )
        self.listeners: list[Listener] = []
        self._following_failures = TaskFailures()
        self._tasks: list[Task] = []
        self._connections = ProcessConnections.from_settings(settings)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be directed to this process."""
        components = self.components
        is_working = not self._following_failures.is_lasting and all(
            each.accept_state.is_accepting for each in self.listeners
        )
        return (
            not self.shutdown.is_requested
            and components.follower.configuration.version > 0
            and components.directory.is_read
            and is_working
        )

    async def async_start(self) -> None:
        """Open the addresses, then start the background tasks."""
        settings = self.settings
        metrics_address = Address(settings.address.host, settings.metrics_port)
        endpoints = (
            (settings.ready_address, self._ready_endpoint),
            (settings.entries_address, self._entries_endpoint),
            (
                metrics_address,
                make_metrics_endpoint(
                    self.components,
                    self.freshness_guard,
                    self.dialer,
                    self.tunnels,
                    self.spools,
                    lambda: self._connections.counts(self.listeners),
                ),
            ),
        )
        for address, endpoint in endpoints:
            self.listeners.append(
                await async_serve_endpoint(
                    address, endpoint, self._connections.limits.most_brief
                )
            )
        peers = await async_setup_listener(
            settings.peer_address,
            make_peer_server(
                self.components.identity,
                self.components.scheduler,
                self.components.follower,
                self.components.snapshots,
                self._async_handle_peer,
                self.tunnels.async_serve,
                self._connections.peers,
            ),
            self._connections.peers,
        )
        callers = await self._async_listen_to_callers(self._make_context())
        self.listeners += (peers, callers)
        membership = self.components.membership
        membership.own_status = membership.own_status._replace(
            address=callers.address,
            peer_address=peers.address,
        )
        await self._async_start_tasks()
        _LOGGER.info(
            'process started',
            address=str(callers.address),
            availability_zone=settings.availability_zone,
            incarnation=self.components.membership.own_status.incarnation,
            is_first_start=settings.is_first_start,
            memory_mb=settings.memory_mb,
            budget_bytes=self.spools.budget.budget_bytes,
            most_sockets=self._connections.limits.most_sockets,
        )

    async def async_stop(self) -> int:
        """Drain the requests in flight, then close everything.

        :returns: how many requests were cut off at the end of the grace
            period.
        """
        components = self.components
        bounds = self.settings.bounds
        requested_ms = now_ms()
        deadline_ms = requested_ms + bounds.grace_ms - SHUTDOWN_MARGIN_MS
        self.shutdown.request(
            requested_ms, grace_ms=bounds.grace_ms, ends_ms=deadline_ms
        )
        components.membership.own_status = (
            components.membership.own_status._replace(
                state=STATE_DRAINING,
            )
        )
        _LOGGER.info('planned stop begins', in_flight=self.in_flight)
        await components.heartbeats.async_send_heartbeats()
        await components.grants.async_move_to_current_owners()
        await self._async_spawn(self._registration.async_deregister)
        accept_until_ms = (
            requested_ms + ENTRIES_CACHE_TTLS * bounds.entries_ttl_ms
        )
        while now_ms() < deadline_ms and (
            self._unfinished or now_ms() < accept_until_ms
        ):
            await sleep(DRAIN_POLL_MS / MILLIS_PER_SECOND)
        self.shutdown.end()
        refused = await components.grants.async_refuse_waiting()
        if refused:
            await sleep(REFUSAL_WRITE_MS / MILLIS_PER_SECOND)
        cut_off = self._unfinished
        _LOGGER.info('planned stop ends', cut_off=cut_off, refused=refused)
        await self.async_kill()
        return cut_off

    async def async_kill(self) -> None:
        """Close everything immediately, as if the process had died."""
        self.components.scheduler.close()
        for task in self._tasks:
            await task.cancel()
        for listener in self.listeners:
            await listener.async_unload()
        await self.components.peers.async_close()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings; the open addresses are not changed."""
        changed = [
            name
            for name, new, old in zip(
                settings._fields, settings, self.settings, strict=True
            )
            if new != old
        ]
        self.settings = settings
        _LOGGER.info('settings reloaded', changed=changed)

    @property
    def _unfinished(self) -> int:
        """Number of requests that end with this process."""
        return self.in_flight + self.tunnels.open_tunnels

    async def _async_handle_peer(
        self, peer_id: str, message: Message, deliver: Deliver
    ) -> None:
        components = self.components
        if isinstance(message, RelayedStatement):
            await async_apply_relayed(
                components.grants.engine_statements, message
            )
            return
        if isinstance(message, RecordCopy):
            components.fleet_memory.apply_relayed(message)
            await components.scheduler.async_evaluate_cells()
            return
        await components.heartbeats.async_handle_request(
            peer_id, message, deliver
        )

    def _make_context(self) -> GatewayContext:
        components = self.components

        def _record_granted_tokens(team: str, tokens: int) -> ReturnTokens:
            return components.spending.add(team, tokens, now_ms())

        return GatewayContext(
            dialect=self._adapter.dialect,
            configuration=lambda: components.follower.configuration,
            freshness_guard=self.freshness_guard,
            send_guard=self._send_guard,
            connection_pool=ConnectionPool(
                lambda: len(components.membership.ranked_ids(FLEET_CELL)),
            ),
            engine_dialer=self.dialer,
            incarnation_check=self._incarnation_check,
            acquire_grant=components.grants.async_acquire,
            report_progress=components.grants.async_report_progress,
            release_grant=components.grants.async_release,
            record_statement=make_statement_recorder(
                components.grants.engine_statements, components.peers
            ),
            check_engine=EngineEndCheck(
                self.dialer.async_has_ended,
                components.grants.link.async_send_to_current,
            ).async_start,
            is_running=make_liveness_check(self.dialer, self._adapter.dialect),
            record_granted_tokens=_record_granted_tokens,
            metrics=components.metrics,
            spools=self.spools,
            zone=self.settings.availability_zone,
            shutdown=self.shutdown,
            caller_connections=self._connections.callers,
            track_in_flight=self._count_in_flight,
        )

    def _is_rolled_back(self, service: str, version: str) -> bool:
        rollouts = self.components.rollouts
        return rollouts is not None and rollouts.is_rolled_back(
            service, version
        )

    @contextmanager
    def _count_in_flight(self) -> Iterator[None]:
        self.in_flight += 1
        self.components.metrics.in_flight = self.in_flight
        try:
            yield
        finally:
            self.in_flight -= 1
            self.components.metrics.in_flight = self.in_flight

    async def _async_listen_to_callers(
        self, context: GatewayContext
    ) -> Listener:
        async def _async_run(
            admission: GatewayAdmission,
            caller: ServerConnection,
        ) -> None:
            await async_run_gateway_request(context, admission, caller)

        respond = make_gateway_handler(context, _async_run)

        def _refuse(bad: BadRequest) -> HttpResponse:
            return refuse_unreadable(context, bad)

        def _limits() -> ReadLimits:
            limits = self.components.follower.configuration.limits
            return ReadLimits(
                idle_ms=limits.idle_timeout_ms,
                header_ms=limits.header_timeout_ms,
                request_ms=REQUEST_READ_TIMEOUT_MS,
                max_body_bytes=limits.max_body_bytes,
                max_header_bytes=limits.max_header_bytes,
            )

        async def _async_serve(sock: socket.socket) -> None:
            bodies = self.spools.budget.open_account(Purpose.REQUEST_BODIES)
            await async_serve_requests(
                sock,
                respond,
                _refuse,
                _limits,
                bodies,
                self._connections.callers,
            )

        return await async_setup_listener(
            self.settings.address, _async_serve, self._connections.callers
        )

    def _ready_endpoint(self, _request: HttpRequest) -> HttpResponse:
        status = HTTPStatus.OK
        if not self.is_ready:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        return HttpResponse(status, {}, b'')

    def _entries_endpoint(self, request: HttpRequest) -> HttpResponse:
        return self._adapter.handle_entries_request(
            request,
            self.components.heartbeats.liveness.serving_instances(),
            self.settings.bounds.entries_ttl_ms,
        )

    async def _async_start_tasks(self) -> None:
        components = self.components
        for following in (
            components.reader.async_follow_configuration,
            components.reader.async_follow_engines,
            components.heartbeats.async_run,
        ):
            await self._async_spawn(following, self._following_failures)
        tasks: list[Work] = [
            partial(
                components.follower.async_fetch_hinted,
                components.snapshots.async_fetch_from_peer,
            ),
            partial(
                components.snapshots.async_fetch_from_seeds,
                self.settings.seed_peers,
            ),
            components.origin_reports.async_run,
            *components.fleet_memory.tasks(),
            components.scheduler.async_refuse_expired,
            components.grants.owner_watch.async_run,
            self._async_follow_ownership,
            self._registration.async_keep_registered,
            self._registration.async_discover,
        ]
        if components.rollouts is not None:
            tasks += (
                components.rollouts.async_follow_orders,
                components.rollouts.async_confirm_versions,
                components.rollouts.async_decide,
                components.rollouts.async_write_status,
            )
        for work in tasks:
            await self._async_spawn(work)

    async def _async_spawn(
        self, work: Work, failures: TaskFailures | None = None
    ) -> None:
        count = self.components.metrics.count_failed_task

        def _record(name: str) -> None:
            count(name)
            if failures is not None:
                failures.record(name)

        task = await spawn(async_supervise, work, _record, daemon=True)
        self._tasks.append(task)

    async def _async_follow_ownership(self) -> None:
        """Move requests when the owner changes; never returns."""
        was_owner = self.components.is_owner
        # A process that has never been the owner must not take itself for the
        # first owner of a new fleet later.
        has_counts = True
        logged_ms = 0.0
        while True:
            await sleep(MIN_HEARTBEAT_INTERVAL_MS / MILLIS_PER_SECOND)
            is_owner = self.components.is_owner
            self.components.cells.record_ownership(is_owner=is_owner)
            if is_owner and now_ms() - logged_ms > LOAD_LOG_INTERVAL_MS:
                logged_ms = now_ms()
                self.components.cells.log_load()
            if is_owner != was_owner:
                _LOGGER.info(
                    'ownership changed',
                    is_owner=is_owner,
                    retries=self.components.cells.retries_in_window(),
                )
            if has_counts and not is_owner:
                self.components.cells.quotas.reset()
            has_counts = is_owner
            was_owner = is_owner
            await self.components.grants.async_move_to_current_owners()
