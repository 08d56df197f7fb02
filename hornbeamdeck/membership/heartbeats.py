"""Heartbeats between instances.

Heartbeats carry liveness, the version of the store's contents that the sender
holds, and when that version was last confirmed. Every instance sends
heartbeats to the few that rank first for the fleet's cells, which include the
owner, and these respond. So each instance has connections to the next owners
before it needs them, the next owners receive the status of all others, and
what one instance has read from the store reaches all others within two
heartbeats. The number of messages grows linearly with the fleet, not with its
square, and the number of store reads does not grow at all.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

import structlog
from curio import sleep

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.store_client import StoredObject
from hornbeamdeck.const import MILLIS_PER_SECOND, PREFIX_INSTANCE
from hornbeamdeck.membership.heartbeat_clock import (
    NEVER_CONFIRMED_AGE_MS,
    HeartbeatClock,
    confirmation_age_ms,
)
from hornbeamdeck.membership.heartbeat_pace import HeartbeatPace
from hornbeamdeck.membership.liveness import (
    FLEET_CELL,
    HEARTBEAT_RECEIVERS,
    Liveness,
)
from hornbeamdeck.membership.membership import InstanceStatus, Membership
from hornbeamdeck.membership.peers import Peers
from hornbeamdeck.membership.sent_updates import SentUpdates
from hornbeamdeck.ownership.spending import SpendingLog, SpendingReports
from hornbeamdeck.scheduling.queued_request import Deliver
from hornbeamdeck.store.engine_directory import EngineDirectory
from hornbeamdeck.store.freshness import Freshness
from hornbeamdeck.wire import (
    Beat,
    EngineList,
    EngineObservation,
    Message,
    Rollout,
)

__all__ = ('HeartbeatDependencies', 'Heartbeats')

_LOGGER = structlog.get_logger(prefix='beats')


class HeartbeatDependencies(NamedTuple):
    """What heartbeats are built from and applied to.

    :param configuration_version: returns the configuration version held here.
    :param engine_slowness: returns the learned slowness of each engine.
    :param record_slowness: records the slowness of engines that a peer reports.
    :param on_engines_changed: called when the list of engines has changed.
    :param rollouts: returns what this process knows of roll-outs.
    :param merge_rollouts: applies what a peer knows of them.
    :param engine_limits: returns the limits that engines have stated, as the
        owner knows them; none if this process is not the owner.
    :param apply_limits: applies those that a peer has sent.
    :param is_first_start: whether no process of the fleet ran before.
    :param is_store_reached: whether the last call to the store succeeded.
    """

    membership: Membership
    peers: Peers
    freshness: Freshness[int]
    directory: EngineDirectory
    spending: SpendingLog
    spending_reports: SpendingReports
    configuration_version: Callable[[], int]
    engine_slowness: Callable[[], Mapping[str, float]]
    record_slowness: Callable[[Mapping[str, float]], None]
    on_engines_changed: Callable[[], None]
    is_store_reached: Callable[[], bool]
    is_first_start: bool
    rollouts: Callable[[], list[Rollout]]
    merge_rollouts: Callable[[list[Rollout]], None]
    engine_limits: Callable[[], list[EngineObservation]]
    apply_limits: Callable[[list[EngineObservation], str], None]


class Heartbeats:
    """Sends heartbeats, responds to them and applies what they report."""

    def __init__(self, dependencies: HeartbeatDependencies) -> None:
        """Start without heartbeats; this process's age counts from now."""
        self._dependencies = dependencies
        self.has_owner_lost_store = False
        self._pace = HeartbeatPace(
            lambda: len(dependencies.membership.ranked_ids(FLEET_CELL))
        )
        self.liveness = Liveness(
            dependencies.membership,
            dependencies.configuration_version,
            self._pace,
        )
        self._clock = HeartbeatClock(self.liveness.started_ms)
        self._unanswered_since_ms: dict[str, float] = {}
        self._sent_updates = SentUpdates(
            dependencies.membership, self.liveness.live_ids
        )

    async def async_run(self) -> None:
        """Send heartbeats periodically, forever."""
        while True:
            await self.async_send_heartbeats()
            await sleep(self._pace.interval_ms / MILLIS_PER_SECOND)

    async def async_send_heartbeats(self) -> None:
        """Send one heartbeat to each first-ranked instance."""
        dependencies = self._dependencies
        now = now_ms()
        # When this process becomes the owner, it also counts the spending of
        # its own callers.
        dependencies.spending_reports.record(
            dependencies.membership.own_status.instance_id,
            dependencies.spending.report(now),
            self._spending_record_ms(now),
            now,
        )
        targets = self._targets()
        for former_target in self._unanswered_since_ms.keys() - set(targets):
            self._unanswered_since_ms.pop(former_target)
        for peer_id in targets:
            await self._async_send_heartbeat(peer_id)

    async def async_handle_request(
        self,
        peer_id: str,
        message: Message,
        deliver: Deliver,
    ) -> None:
        """Apply a peer's heartbeat or engine list; respond to a heartbeat."""
        if isinstance(message, EngineList):
            self._apply_engines(message)
            return
        if not isinstance(message, Beat):
            return
        self._apply_heartbeat(peer_id, message)
        if not message.echo_ms:
            # The peer has restarted and lost what was sent to its predecessor
            # of the same name.
            self.forget_sent(peer_id)
        heartbeat = self._make_heartbeat(peer_id)
        heartbeat.present = self._sent_updates.unsent_live_ids(peer_id)
        heartbeat.statuses = self._sent_updates.unsent_statuses(peer_id)
        await deliver(heartbeat)
        await self._async_send_engines(message, deliver)

    async def async_handle_response(
        self, peer_id: str, message: Message
    ) -> None:
        """Apply a peer's response to a heartbeat."""
        if isinstance(message, EngineList):
            self._apply_engines(message)
            return
        if not isinstance(message, Beat):
            return
        self._unanswered_since_ms.pop(peer_id, None)
        self._apply_heartbeat(peer_id, message)
        if message.present is not None:
            self.liveness.record_reported_live(peer_id, message.present)
        if peer_id == self._dependencies.membership.owner_of(FLEET_CELL):
            self.has_owner_lost_store = not message.is_store_reached

        async def _async_deliver(reply: Message) -> None:
            await self._dependencies.peers.async_send(peer_id, reply)

        await self._async_send_engines(message, _async_deliver)

    def forget_sent(self, peer_id: str) -> None:
        """Send everything to a peer again, since its connection was lost."""
        self._sent_updates.drop(peer_id)

    def _targets(self) -> list[str]:
        membership = self._dependencies.membership
        own_id = membership.own_status.instance_id
        ranked = membership.ranked_ids(FLEET_CELL)
        unsuspected = [
            each for each in ranked if each not in membership.suspected
        ]
        targets = unsuspected[:HEARTBEAT_RECEIVERS]
        suspected_ids = [
            each
            for each in ranked[: HEARTBEAT_RECEIVERS + 1]
            if each in membership.suspected
        ]
        # Without probes, only a request would detect that a suspected owner is
        # reachable again.
        targets += self._pace.select_probe_targets(suspected_ids, now_ms())
        return [each for each in targets if each != own_id]

    async def _async_send_heartbeat(self, peer_id: str) -> None:
        peers = self._dependencies.peers
        now = now_ms()
        if (
            not peers.has_connection(peer_id)
            and not self._pace.may_open_connection()
        ):
            self._unanswered_since_ms.pop(peer_id, None)
            return
        since_ms = self._unanswered_since_ms.setdefault(peer_id, now)
        if now - since_ms > self._pace.silence_timeout_ms:
            _LOGGER.warning(
                'peer is silent',
                peer=peer_id,
                silent_ms=int(now - since_ms),
            )
            self._unanswered_since_ms.pop(peer_id)
            self.liveness.drop(peer_id)
            await peers.async_disconnect(peer_id)
            return
        await peers.async_send(peer_id, self._make_heartbeat(peer_id))

    def _make_heartbeat(self, peer_id: str) -> Beat:
        dependencies = self._dependencies
        now = now_ms()
        last = self.liveness.last_heartbeat(peer_id)
        version = dependencies.configuration_version()
        confirmed_ms = dependencies.freshness.confirmed_ms(version)
        return Beat(
            stamp_ms=self._clock.stamp_ms(now),
            echo_ms=last.stamp_ms,
            configuration_version=version,
            configuration_age_ms=confirmation_age_ms(
                last.received_ms, confirmed_ms
            ),
            engines_version=dependencies.directory.version.number_on_wire,
            engines_era=dependencies.directory.era,
            engines_age_ms=confirmation_age_ms(
                last.received_ms,
                dependencies.directory.confirmed_ms,
            ),
            status=self._sent_updates.unsent_own_status(peer_id, now),
            memory_ms=int(self._spending_record_ms(now)),
            spent=dependencies.spending.report(now),
            is_store_reached=dependencies.is_store_reached(),
            rollouts=dependencies.rollouts() or None,
            limits=dependencies.engine_limits() or None,
        )

    def _apply_heartbeat(self, peer_id: str, heartbeat: Beat) -> None:
        dependencies = self._dependencies
        if heartbeat.status:
            self._apply_status(heartbeat.status)
        for text in heartbeat.statuses or ():
            self._apply_status(text)
        self.liveness.record_heartbeat(
            peer_id,
            heartbeat.stamp_ms,
            can_serve=heartbeat.configuration_version > 0,
        )
        dependencies.spending_reports.record(
            peer_id, heartbeat.spent, heartbeat.memory_ms, now_ms()
        )
        if heartbeat.rollouts:
            dependencies.merge_rollouts(heartbeat.rollouts)
        if heartbeat.limits:
            dependencies.apply_limits(heartbeat.limits, peer_id)
        if not heartbeat.echo_ms:
            return
        # The peer's ages count back from the arrival of the heartbeat that it
        # echoes. This process stamped that heartbeat before it arrived, so
        # counting back from the stamp never makes a confirmation younger.
        now = now_ms()
        configuration_ms, engines_ms = (
            self._clock.requested_ms(heartbeat.echo_ms, age_ms, now)
            for age_ms in (
                heartbeat.configuration_age_ms,
                heartbeat.engines_age_ms,
            )
        )
        if configuration_ms is None or engines_ms is None:
            _LOGGER.warning('proof not accepted', peer=peer_id)
            return
        dependencies.freshness.confirm(
            heartbeat.configuration_version, configuration_ms
        )
        dependencies.directory.confirm_reported(heartbeat, engines_ms)

    def _spending_record_ms(self, now: float) -> float:
        if self._dependencies.is_first_start:
            # No spending precedes the first start, so the record is complete.
            return NEVER_CONFIRMED_AGE_MS
        return now - self.liveness.started_ms

    def _apply_status(self, text: str) -> None:
        try:
            status = InstanceStatus.from_text(text)
        except ValueError:
            _LOGGER.warning('peer sent an invalid status object', text=text)
            return
        membership = self._dependencies.membership
        if status.instance_id == membership.own_status.instance_id:
            return
        key = f'{PREFIX_INSTANCE}{status.instance_id}'
        if membership.status_of(status.instance_id) != status:
            membership.apply_status(StoredObject(key, 0, text))

    async def _async_send_engines(
        self, heartbeat: Beat, deliver: Deliver
    ) -> None:
        directory = self._dependencies.directory
        if directory.is_newer_than(heartbeat):
            await deliver(
                directory.to_wire(self._dependencies.engine_slowness())
            )

    def _apply_engines(self, message: EngineList) -> None:
        dependencies = self._dependencies
        if dependencies.directory.update_from_wire(message):
            dependencies.record_slowness(
                {entry.name: entry.slowness for entry in message.engines},
            )
            dependencies.on_engines_changed()
