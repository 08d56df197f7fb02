"""The cells that this process owns, and the messages about them."""

from collections.abc import Iterable
from typing import Final, TypeAlias

import structlog
from curio import Event, sleep

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.scheduling.cell import Cell, Refused
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.ticket import Deliver
from hornbeamdeck.version.configuration import Configuration
from hornbeamdeck.wire import (
    Enqueue,
    Grant,
    Progress,
    RefusalReason,
    Refuse,
    Register,
    Release,
    Suspect,
    ToOwner,
    Withdraw,
)

__all__ = ('Scheduler',)

_LOGGER = structlog.get_logger(prefix='scheduler')

SWEEP_MS: Final = 25

AnyCell: TypeAlias = Cell | EngineCell


class Scheduler:
    """Answers what ingress instances ask of the cells owned here.

    It owns a cell for whoever asks: two owners of one cell, for the moment in
    which views differ, each grant on what they know, which costs queueing at
    an engine and no promise.
    """

    def __init__(self) -> None:
        """Start without cells; `adopt` brings them."""
        self.cells: dict[str, AnyCell] = {}
        self._leaving: frozenset[str] = frozenset()
        self._waiting = Event()

    def adopt(self, configuration: Configuration) -> None:
        """Take over a new configuration; one cell a service today."""
        weights = {
            team.name: team.weight
            for team in configuration.teams_by_key.values()
        }
        ranks = [tier.rank for tier in configuration.tiers.values()]
        for service in configuration.services:
            cell = self.cells.get(service)
            if not isinstance(cell, Cell):
                cell = Cell()
                self.cells[service] = cell
            cell.adopt(
                configuration.upstreams_of(service),
                weights=weights,
                top_rank=min(ranks, default=0),
            )
        for gone in self.cells.keys() - configuration.services.keys():
            self.cells.pop(gone)
        self.note_leaving(self._leaving)

    def note_leaving(self, addresses: Iterable[str]) -> None:
        """Give no more work to upstreams at these addresses."""
        self._leaving = frozenset(addresses)
        plain = (each for each in self.cells.values() if isinstance(each, Cell))
        for cell in plain:
            for load in cell.loads.values():
                address = str(load.upstream.address)
                load.is_leaving = address in self._leaving

    async def async_receive(
        self,
        message: ToOwner,
        *,
        sender: str,
        deliver: Deliver,
    ) -> None:
        """Act on one message of an ingress.

        :param sender: the connection it came by.
        :param deliver: sends an answer back on it.
        """
        cell = self.cells.get(message.cell)
        if cell is None:
            await self._async_no_cell(message, deliver)
            return
        match message:
            case Enqueue():
                await self._async_enqueue(cell, message, sender, deliver)
            case Withdraw():
                cell.withdraw(message.request_id)
            case Register():
                cell.register(message, sender)
            case Progress():
                cell.progress(message, now_ms())
            case Release():
                suspect = cell.release(message, now_ms())
                if suspect is not None:
                    await deliver(suspect)
            case Suspect():
                cell.suspicions.note(
                    message.fingerprint,
                    message.crashes,
                    now_ms(),
                )
        await self._async_grant(cell)

    async def async_regrant(self) -> None:
        """Look at all cells again, since what they know has changed."""
        for cell in tuple(self.cells.values()):
            await self._async_grant(cell)

    async def async_drop_sender(self, sender: str) -> None:
        """Forget all that came by a connection that has gone."""
        for cell in self.cells.values():
            cell.drop_sender(sender)
            await self._async_grant(cell)

    async def async_sweep(self) -> None:
        """Refuse, for ever, what can no longer end in time.

        Grants alone would not notice: while every place is held by a long
        answer, a request whose time is up would wait on with no final answer.
        """
        while True:
            if not any(map(len, self.cells.values())):
                self._waiting.clear()
                await self._waiting.wait()
            await sleep(SWEEP_MS / MILLIS_PER_SECOND)
            await self.async_regrant()

    async def _async_enqueue(
        self,
        cell: AnyCell,
        request: Enqueue,
        sender: str,
        deliver: Deliver,
    ) -> None:
        refused = cell.offer(
            request,
            sender=sender,
            deliver=deliver,
            now=now_ms(),
        )
        if refused is not None:
            await _async_refuse(refused)
        await self._waiting.set()

    async def _async_grant(self, cell: AnyCell) -> None:
        now = now_ms()
        given_up = [*cell.expire(now), *cell.displace()]
        granted = list(cell.grants(now))
        for refused in given_up:
            await _async_refuse(refused)
        for grant in granted:
            request = grant.ticket.request
            if grant.held_for:
                _LOGGER.info(
                    'request was held back',
                    request_id=request.request_id,
                    cell=request.cell,
                    held_for=grant.held_for,
                    engine=grant.upstream,
                    prompt_tokens=request.prompt_tokens,
                )
            await grant.ticket.deliver(
                Grant(
                    request_id=request.request_id,
                    cell=request.cell,
                    upstream=grant.upstream,
                    address=grant.address,
                ),
            )

    async def _async_no_cell(self, message: ToOwner, deliver: Deliver) -> None:
        if not isinstance(message, Enqueue):
            return
        _LOGGER.info('unknown cell asked for', cell=message.cell)
        refusal = Refuse(
            request_id=message.request_id,
            reason=RefusalReason.UNKNOWN_CELL,
            retry_after_ms=MILLIS_PER_SECOND,
        )
        await deliver(refusal)


async def _async_refuse(refused: Refused) -> None:
    request = refused.ticket.request
    _LOGGER.info(
        'request refused',
        request_id=request.request_id,
        cell=request.cell,
        reason=RefusalReason(refused.refusal.reason).name.lower(),
        retry_after_ms=refused.refusal.retry_after_ms,
        **refused.facts,
    )
    await refused.ticket.deliver(refused.refusal)
