"""Creates and connects the components of one instance."""

import uuid
from typing import NamedTuple, Self

from result import Result

from hornbeamdeck.connection.peer import PeerIdentity
from hornbeamdeck.connection.store_client import PlatformClient
from hornbeamdeck.hybrid_clock import HybridClock
from hornbeamdeck.membership.membership import (
    STATE_LIVE,
    InstanceStatus,
    Membership,
)
from hornbeamdeck.membership.membership_sync import MembershipSync
from hornbeamdeck.membership.peers import Peers
from hornbeamdeck.memory.budget import Account, MemoryBudget, Purpose
from hornbeamdeck.observability.metrics import Metrics
from hornbeamdeck.ownership.baseline_policies import (
    LoadReports,
    least_reported_load,
    round_robin,
)
from hornbeamdeck.ownership.grants import Grants
from hornbeamdeck.ownership.placement_policy import Policy
from hornbeamdeck.ownership.scheduler import Scheduler
from hornbeamdeck.process.background import Background
from hornbeamdeck.process.issued_key_calls import IssuedKeyCalls
from hornbeamdeck.process.settings import Settings
from hornbeamdeck.request.claim import Claims
from hornbeamdeck.request.gateway_request import RunSummary
from hornbeamdeck.request.idempotency import IdempotencyContext
from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.store.follower import (
    ConfigurationFollower,
    make_configuration_follower,
)
from hornbeamdeck.store.snapshots import Snapshots
from hornbeamdeck.version.configuration import Configuration
from hornbeamdeck.wire import Enqueue, RunEnd

__all__ = ('InstanceComponents',)


class InstanceComponents(NamedTuple):
    """All components of an instance except its sockets."""

    settings: Settings
    metrics: Metrics
    platform: PlatformClient
    membership: Membership
    scheduler: Scheduler
    follower: ConfigurationFollower[Configuration]
    peers: Peers
    grants: Grants
    background: Background
    execution_rights: IdempotencyContext
    reports: LoadReports
    membership_sync: MembershipSync
    identity: PeerIdentity
    snapshots: Snapshots[Configuration]
    policy: Policy
    memory: MemoryBudget

    @classmethod
    def from_settings(cls, settings: Settings) -> Self:
        """Create all components; no address is opened yet."""
        metrics = Metrics()
        platform = PlatformClient(
            settings.platform_address,
            calls=metrics.count_platform_call,
        )
        membership = Membership(_own_status(settings))
        scheduler = Scheduler()
        follower = _make_follower(platform, metrics, scheduler)
        identity = _make_identity(settings, metrics, follower)
        peers = Peers(membership, identity, on_version=follower.async_hint)
        grants = Grants(membership, peers, scheduler)
        peers.set_callbacks(grants.async_receive, grants.async_owner_lost)
        reports = LoadReports(lambda: follower.configuration)
        background = Background()
        return cls(
            settings=settings,
            metrics=metrics,
            platform=platform,
            membership=membership,
            scheduler=scheduler,
            follower=follower,
            peers=peers,
            grants=grants,
            background=background,
            execution_rights=IdempotencyContext(
                Claims(platform, background),
                IssuedKeyCalls(),
                membership,
                settings.fleet_secret,
            ),
            reports=reports,
            membership_sync=MembershipSync(
                platform, membership, scheduler, grants
            ),
            identity=identity,
            snapshots=Snapshots(follower, membership, identity),
            policy=_with_wait_metric(
                _make_policy(settings.policy, grants, follower, reports),
                metrics,
            ),
            memory=MemoryBudget.from_settings(None),
        )

    def open_body_account(self) -> Account:
        """Make what counts the request bodies of one connection."""
        return self.memory.open_account(Purpose.REQUEST_BODIES)


def _own_status(settings: Settings) -> InstanceStatus:
    return InstanceStatus(
        instance_id=settings.instance_id,
        address=settings.address,
        peer_address=settings.peer_address,
        availability_zone=settings.availability_zone,
        incarnation=uuid.uuid4().hex,
        state=STATE_LIVE,
    )


def _make_follower(
    platform: PlatformClient,
    metrics: Metrics,
    scheduler: Scheduler,
) -> ConfigurationFollower[Configuration]:
    async def _async_applied(configuration: Configuration) -> None:
        metrics.configuration_version.set(configuration.version)
        scheduler.apply_configuration(configuration)

    return make_configuration_follower(platform, _async_applied)


def _make_identity(
    settings: Settings,
    metrics: Metrics,
    follower: ConfigurationFollower[Configuration],
) -> PeerIdentity:
    return PeerIdentity(
        instance_id=settings.instance_id,
        fleet_secret=settings.fleet_secret,
        configuration_version=lambda: follower.configuration.version,
        count_bytes=metrics.count_peer_bytes,
        clock=HybridClock(),
    )


def _with_wait_metric(policy: Policy, metrics: Metrics) -> Policy:
    async def _async_acquire(request: Enqueue) -> Result[str, NotRun]:
        with metrics.grant_wait_seconds.time():
            return await policy.acquire(request)

    return policy._replace(acquire=_async_acquire)


def _make_policy(
    name: str,
    grants: Grants,
    follower: ConfigurationFollower[Configuration],
    reports: LoadReports,
) -> Policy:
    def _configuration() -> Configuration:
        return follower.configuration

    match name:
        case 'round_robin':
            return round_robin(_configuration)
        case 'least_reported_load':
            return least_reported_load(_configuration, reports)

    async def _async_acquire(request: Enqueue) -> Result[str, NotRun]:
        granted = await grants.async_acquire(request)
        return granted.map(lambda grant: str(grant.upstream))

    async def _async_release(
        request_id: str, end: RunEnd, total_ms: float
    ) -> None:
        await grants.async_release(
            request_id, end, RunSummary(total_ms=total_ms)
        )

    return Policy(
        acquire=_async_acquire,
        on_first_token=grants.async_report_first_token,
        on_end=_async_release,
    )
