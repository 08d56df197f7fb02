"""Creates and connects the components of a gateway process."""

from collections.abc import Callable
from typing import Final, NamedTuple, Self, TypeAlias

from result import Err, Ok, Result

from hornbeamdeck.connection.peer import PeerIdentity
from hornbeamdeck.connection.store_calls import StoreCalls
from hornbeamdeck.connection.store_client import StoredObject, StoreUnavailable
from hornbeamdeck.connection.store_era import StoreEra
from hornbeamdeck.const import KEY_CONFIGURATION
from hornbeamdeck.hybrid_clock import HybridClock
from hornbeamdeck.membership.heartbeats import HeartbeatDependencies, Heartbeats
from hornbeamdeck.membership.liveness import (
    FLEET_CELL,
    HEARTBEAT_RECEIVERS,
    Liveness,
)
from hornbeamdeck.membership.membership import Membership
from hornbeamdeck.membership.peers import Peers
from hornbeamdeck.memory.spools import Spools
from hornbeamdeck.observability.gateway_metrics import GatewayMetrics
from hornbeamdeck.ownership.engine_cells import EngineCells, FleetView
from hornbeamdeck.ownership.grants import Grants
from hornbeamdeck.ownership.origin_reports import OriginReports
from hornbeamdeck.ownership.scheduler import Scheduler
from hornbeamdeck.ownership.spending import SpendingLog, SpendingReports
from hornbeamdeck.ownership.team_limits import make_team_limits
from hornbeamdeck.process.gateway_settings import GatewaySettings
from hornbeamdeck.process.own_status import make_own_status
from hornbeamdeck.process.platform_adapter import (
    ParseConfiguration,
    PlatformAdapter,
)
from hornbeamdeck.rollout.rollouts import Rollouts
from hornbeamdeck.rollout.store_interface import RolloutStore
from hornbeamdeck.scheduling.admission_control import ListInstances
from hornbeamdeck.scheduling.incarnations import IncarnationBook
from hornbeamdeck.scheduling.rollout import RolloutBounds
from hornbeamdeck.store.engine_directory import EngineDirectory
from hornbeamdeck.store.fleet_memory import FleetMemory
from hornbeamdeck.store.follower import ConfigurationFollower, DocumentSource
from hornbeamdeck.store.freshness import Freshness
from hornbeamdeck.store.record_kinds import ENGINE_VERSIONS
from hornbeamdeck.store.record_relay import RecordRelay
from hornbeamdeck.store.snapshots import Snapshots
from hornbeamdeck.store.store_interface import (
    ConfigurationRead,
    ReadConfiguration,
    StoreInterface,
)
from hornbeamdeck.store.store_reader import (
    StoreReader,
    StoreReaderDependencies,
)
from hornbeamdeck.version.gateway import GatewayConfiguration
from hornbeamdeck.wire import Beat, EngineList, Message

__all__ = ('GatewayComponents',)

# A suspected instance is probed with a heartbeat every second and is used again
# when it responds. Until then, no request may be sent to it.
SUSPICION_MS: Final = 30_000

Follower: TypeAlias = ConfigurationFollower[GatewayConfiguration]


class GatewayComponents(NamedTuple):
    """All components of a gateway process except its sockets."""

    metrics: GatewayMetrics
    store_era: StoreEra
    store: StoreInterface
    membership: Membership
    freshness: Freshness[int]
    directory: EngineDirectory
    incarnations: IncarnationBook
    follower: Follower
    scheduler: Scheduler
    cells: EngineCells
    peers: Peers
    grants: Grants
    origin_reports: OriginReports
    fleet_memory: FleetMemory
    heartbeats: Heartbeats
    reader: StoreReader
    snapshots: Snapshots[GatewayConfiguration]
    identity: PeerIdentity
    spending: SpendingLog
    rollouts: Rollouts | None
    spools: Spools

    @classmethod
    def from_settings(
        cls, settings: GatewaySettings, adapter: PlatformAdapter
    ) -> Self:
        """Create all components; no address is opened yet."""
        metrics = GatewayMetrics()
        store_calls = StoreCalls(
            settings.platform_address,
            StoreEra(adapter.era_header),
            count=metrics.count_store_call,
            count_unusable=metrics.count_unusable_entry,
        )
        store = adapter.open_store(store_calls)
        membership = Membership(
            make_own_status(settings),
            suspect_ms=SUSPICION_MS,
            common_cell=FLEET_CELL,
        )
        membership.mark_published()
        directory = EngineDirectory()
        incarnations = IncarnationBook(directory.listed_until_ms)
        reports = SpendingReports(settings.bounds.quota_window_ms)
        scheduler = Scheduler()
        # These lists are filled below: the components that are created first
        # call components that depend on them.
        fleet_share: list[Callable[[], float]] = []
        liveness: list[Liveness] = []
        serving: list[ListInstances] = []
        readers: list[StoreReader] = []
        rollouts: list[Rollouts] = []
        cells = EngineCells(
            scheduler,
            directory,
            settings.bounds,
            make_team_limits(
                reports,
                settings.bounds,
                fleet_share=lambda: liveness[0].heard_share(),
                overlap_ms=lambda: liveness[0].recency_ms,
                is_first_start=settings.is_first_start,
            ),
            FleetView(
                fleet_share=lambda: fleet_share[0](),
                instances=lambda: serving[0](),
                is_certain=incarnations.is_certain,
                engines_confirmed_ms=lambda: directory.confirmed_ms,
            ),
            is_first_start=settings.is_first_start,
        )
        follower = _make_follower(
            _make_configuration_read(store, readers),
            adapter.parse_configuration,
            metrics,
            cells,
        )
        spools = Spools.from_settings(settings.memory_mb)
        identity = _make_identity(settings, metrics, follower)._replace(
            outgoing=spools.open_peer_account()
        )
        peers = Peers(
            membership,
            identity,
            on_version=follower.async_hint,
        )
        spending = SpendingLog(settings.bounds.quota_window_ms)
        freshness: Freshness[int] = Freshness()
        heartbeats = Heartbeats(
            HeartbeatDependencies(
                membership=membership,
                peers=peers,
                freshness=freshness,
                directory=directory,
                spending=spending,
                spending_reports=reports,
                configuration_version=identity.configuration_version,
                engine_slowness=cells.slowness,
                record_slowness=cells.record_slowness,
                on_engines_changed=cells.apply_engines,
                is_store_reached=lambda: readers[0].is_store_reached,
                is_first_start=settings.is_first_start,
                rollouts=lambda: rollouts[0].to_wire() if rollouts else [],
                merge_rollouts=lambda reported: (
                    rollouts[0].merge(reported) if rollouts else None
                ),
                engine_limits=lambda: (
                    cells.engine_limits() if _is_owner(membership) else []
                ),
                apply_limits=scheduler.apply_limits,
            ),
        )
        fleet_share.append(heartbeats.liveness.live_share)
        liveness.append(heartbeats.liveness)
        serving.append(heartbeats.liveness.serving_ids)
        grants = Grants(membership, peers, scheduler)
        origin_reports = OriginReports(
            cells.cells,
            membership,
            heartbeats.liveness,
            peers,
            scheduler.has_new_origins,
        )
        _register_handlers(peers, heartbeats, grants, origin_reports)
        readers.append(
            StoreReader(
                StoreReaderDependencies(
                    store=store,
                    freshness=freshness,
                    directory=directory,
                    rank=heartbeats.liveness.rank,
                    is_owner=lambda: _is_owner(membership),
                    has_owner_lost_store=lambda: (
                        heartbeats.has_owner_lost_store
                    ),
                    configuration_version=identity.configuration_version,
                    on_document=follower.async_note,
                    on_engines_changed=cells.apply_engines,
                ),
            ),
        )
        if settings.rollouts is not None:
            rollouts.append(
                _make_rollouts(
                    adapter.open_rollout_store(store_calls),
                    settings.rollouts,
                    cells,
                    heartbeats,
                    membership,
                    metrics,
                )
            )
        return cls(
            metrics=metrics,
            store_era=store_calls.era,
            store=store,
            membership=membership,
            freshness=freshness,
            directory=directory,
            incarnations=incarnations,
            follower=follower,
            scheduler=scheduler,
            cells=cells,
            peers=peers,
            grants=grants,
            origin_reports=origin_reports,
            fleet_memory=FleetMemory.from_store(
                store,
                cells.cells,
                # Streams that nobody knows can't go on before the first record.
                lambda: (
                    _is_owner(membership)
                    and (
                        settings.is_first_start
                        or heartbeats.liveness.has_settled()
                    )
                ),
                lambda: store_calls.era.current,
                metrics.count_stored_origins,
                readers[0].async_read_engines,
                RecordRelay(
                    ENGINE_VERSIONS.record_name,
                    store,
                    cells.cells,
                    lambda: _owner_without_store(heartbeats, membership),
                    peers.async_send,
                ),
            ),
            heartbeats=heartbeats,
            reader=readers[0],
            snapshots=Snapshots(follower, membership, identity),
            identity=identity,
            spending=spending,
            rollouts=rollouts[0] if rollouts else None,
            spools=spools,
        )

    @property
    def newest_era(self) -> int:
        """Newest era of the store that this process or its peers have seen."""
        return max(self.store_era.current, self.directory.era)

    @property
    def is_owner(self) -> bool:
        """Whether this process owns the fleet's cells now."""
        return _is_owner(self.membership)


def _is_owner(membership: Membership) -> bool:
    return membership.owner_of(FLEET_CELL) == membership.own_status.instance_id


def _owner_without_store(
    heartbeats: Heartbeats, membership: Membership
) -> str | None:
    """Return the owner that this process has to help, if any."""
    if _is_owner(membership) or not _has_to_help_owner(heartbeats):
        return None
    return membership.owner_of(FLEET_CELL)


def _make_configuration_read(
    store: StoreInterface,
    readers: list[StoreReader],
) -> ReadConfiguration:
    """Return a function that reads the store unless it is known to be down.

    While the store is down, a newer version that a peer reported is then
    requested from that peer without waiting for the store's timeout.
    """

    async def _async_read() -> Result[ConfigurationRead, StoreUnavailable]:
        if not readers[0].is_store_reached:
            return Err(StoreUnavailable('the last call to the store failed'))
        return await store.read_configuration()

    return _async_read


def _make_follower(
    read_configuration: ReadConfiguration,
    parse: ParseConfiguration,
    metrics: GatewayMetrics,
    cells: EngineCells,
) -> Follower:
    async def _async_fetch() -> Result[StoredObject | None, StoreUnavailable]:
        response = await read_configuration()
        if not isinstance(response, Ok):
            return response
        configuration = response.ok_value
        if configuration.document is None:
            return Ok(None)
        return Ok(
            StoredObject(
                KEY_CONFIGURATION,
                configuration.version,
                configuration.document,
            ),
        )

    async def _async_applied(configuration: GatewayConfiguration) -> None:
        metrics.configuration_version = configuration.version
        cells.apply_configuration(configuration)

    return ConfigurationFollower(
        DocumentSource(
            empty=GatewayConfiguration.empty(),
            parse=parse,
            fetch=_async_fetch,
            on_applied=_async_applied,
            count_invalid=lambda: metrics.count_unusable_entry('config'),
        ),
    )


def _make_rollouts(
    store: RolloutStore,
    bounds: RolloutBounds,
    cells: EngineCells,
    heartbeats: Heartbeats,
    membership: Membership,
    metrics: GatewayMetrics,
) -> Rollouts:
    def _owns_cells() -> bool:
        return _is_owner(membership)

    def _is_reader() -> bool:
        liveness = heartbeats.liveness
        if _owns_cells():
            return liveness.has_settled()
        return _has_to_help_owner(heartbeats)

    made = Rollouts.from_bounds(
        store, bounds, cells.cells, metrics, _owns_cells, _is_reader
    )
    cells.set_callback(made.apply)
    return made


def _has_to_help_owner(heartbeats: Heartbeats) -> bool:
    """Return whether this process uses the store for the owner."""
    return (
        heartbeats.has_owner_lost_store
        and heartbeats.liveness.rank() < HEARTBEAT_RECEIVERS
    )


def _make_identity(
    settings: GatewaySettings,
    metrics: GatewayMetrics,
    follower: Follower,
) -> PeerIdentity:
    return PeerIdentity(
        instance_id=settings.instance_id,
        fleet_secret=settings.fleet_secret,
        configuration_version=lambda: follower.configuration.version,
        count_bytes=metrics.count_peer_bytes,
        clock=HybridClock(),
    )


def _register_handlers(
    peers: Peers,
    heartbeats: Heartbeats,
    grants: Grants,
    origin_reports: OriginReports,
) -> None:
    async def _async_on_message(peer_id: str, message: Message) -> None:
        if isinstance(message, Beat | EngineList):
            grants.owner_watch.record_message(peer_id)
            await heartbeats.async_handle_response(peer_id, message)
            return
        await grants.async_receive(peer_id, message)

    async def _async_on_disconnect(peer_id: str) -> None:
        heartbeats.forget_sent(peer_id)
        origin_reports.forget(peer_id)
        await grants.async_owner_lost(peer_id)

    peers.set_callbacks(_async_on_message, _async_on_disconnect)
