"""Tells the next owners which versions began the streams granted here.

The owner and the ingress of a stream may die at the same moment. The caller
then goes on at another instance, which asks the next owner. So the owner
reports to its successors. Every other instance reports to the owner what it
has granted itself, as a former owner or while it was cut off.
"""

from collections.abc import Mapping
from contextlib import suppress
from typing import Final, NamedTuple

from curio import Event, sleep
from curio.errors import TaskTimeout

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.membership.liveness import (
    FLEET_CELL,
    HEARTBEAT_RECEIVERS,
    Liveness,
)
from hornbeamdeck.membership.membership import Membership
from hornbeamdeck.membership.peers import Peers
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.wire import StreamOrigins

__all__ = ('OriginReports',)

# How long changes are collected for one report.
COLLECT_MS: Final = 5
# Interval of reports while nothing is granted here.
CHECK_INTERVAL_MS: Final = 250
# A larger message would delay grants on the same connection.
MAX_ORIGINS_PER_MESSAGE: Final = 500


class _Receiver(NamedTuple):
    peer_id: str
    service: str


class OriginReports:
    """Reports what the cells know of streams to the owner or its successors."""

    def __init__(
        self,
        cells: Mapping[str, EngineCell],
        membership: Membership,
        liveness: Liveness,
        peers: Peers,
        has_new_origins: Event,
    ) -> None:
        """Start without reports.

        :param cells: the cells of this process by service.
        :param has_new_origins: set when streams were granted or have begun.
        """
        self._cells = cells
        self._membership = membership
        self._liveness = liveness
        self._peers = peers
        self._has_new_origins = has_new_origins
        # Last change of a cell's origins that was reported.
        self._reported: dict[_Receiver, int] = {}

    async def async_run(self) -> None:
        """Report what has changed, forever."""
        while True:
            with suppress(TaskTimeout):
                await async_with_timeout(
                    CHECK_INTERVAL_MS, self._has_new_origins.wait()
                )
            await sleep(COLLECT_MS / MILLIS_PER_SECOND)
            self._has_new_origins.clear()
            await self.async_report_changes()

    async def async_report_changes(self) -> None:
        """Report what has changed since the last report."""
        for settled in self._cells.values():
            settled.origins.settle(now_ms())
        for peer_id in self._receiver_ids():
            for service, cell in self._cells.items():
                await self._async_report(_Receiver(peer_id, service), cell)

    def forget(self, peer_id: str) -> None:
        """Report everything to a peer again, since its connection was lost.

        It may have restarted, and then it has lost its own reports too.
        """
        for receiver in tuple(self._reported):
            if receiver.peer_id == peer_id:
                self._reported.pop(receiver)
        for cell in self._cells.values():
            cell.origins.forget_source(peer_id)

    async def _async_report(
        self, receiver: _Receiver, cell: EngineCell
    ) -> None:
        reported = self._reported.get(receiver, 0)
        sequence = cell.origins.sequence
        if reported == sequence:
            return
        self._reported[receiver] = sequence
        origins = cell.origins.changed_since(
            reported, receiver.peer_id, now_ms()
        )
        for start in range(0, len(origins), MAX_ORIGINS_PER_MESSAGE):
            message = StreamOrigins(
                cell=receiver.service,
                origins=origins[start : start + MAX_ORIGINS_PER_MESSAGE],
            )
            await self._peers.async_send(receiver.peer_id, message)

    def _receiver_ids(self) -> list[str]:
        membership = self._membership
        receivers = [membership.owner_of(FLEET_CELL)]
        if self._is_owner():
            ranked = membership.ranked_ids(FLEET_CELL)
            receivers = [
                each for each in ranked if each not in membership.suspected
            ][:HEARTBEAT_RECEIVERS]
        own_id = membership.own_status.instance_id
        return [
            peer_id
            for peer_id in receivers
            if peer_id != own_id
            and self._peers.has_connection(peer_id)
            # Without a configuration it has no cells to keep reports in.
            and self._liveness.last_heartbeat(peer_id).can_serve
        ]

    def _is_owner(self) -> bool:
        membership = self._membership
        own_id = membership.own_status.instance_id
        return membership.owner_of(FLEET_CELL) == own_id
