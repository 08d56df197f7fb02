"""The ingress side of the grant protocol.

Every request of this process is held here until its answer is done: waiting
for a grant, or running. When the owner of its cell goes, waiting ones are
enqueued with the next owner and running ones registered there, so that it
rebuilds its picture of the upstreams from its ingress instances alone.
"""

from typing import NamedTuple

from curio import Queue
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_within, now_ms
from hornbeamdeck.process.held_suspects import HeldSuspects
from hornbeamdeck.process.membership import Membership
from hornbeamdeck.process.owner_link import OwnerLink
from hornbeamdeck.process.owner_watch import OwnerWatch
from hornbeamdeck.process.peers import Peers
from hornbeamdeck.process.scheduler import Scheduler
from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.request.refusal import deadline_passed, from_refuse
from hornbeamdeck.wire import (
    Enqueue,
    Grant,
    Message,
    Progress,
    Refuse,
    Register,
    Release,
    RunEnd,
    Suspect,
    Withdraw,
)

__all__ = ('Grants',)


class _Waiting(NamedTuple):
    request: Enqueue
    deadline_ms: float
    owner: str
    answer: Queue


class _Running(NamedTuple):
    run: Register
    owner: str


class Grants:
    """Asks the owners of cells for grants and tells them how runs went."""

    def __init__(
        self,
        membership: Membership,
        peers: Peers,
        scheduler: Scheduler,
    ) -> None:
        """Hold nothing yet."""
        self._membership = membership
        self._link = OwnerLink(membership, peers, scheduler)
        self._link.listen(self.async_receive)
        self._waiting: dict[str, _Waiting] = {}
        self._running: dict[str, _Running] = {}
        self._suspects = HeldSuspects(membership, self._link)
        self.watch = OwnerWatch(peers, self._asked_owners)

    @property
    def waiting(self) -> int:
        """Count the requests that wait for a grant."""
        return len(self._waiting)

    async def async_acquire(self, request: Enqueue) -> Result[Grant, NotRun]:
        """Wait for a grant, which names the upstream to dispatch to."""
        deadline_ms = now_ms() + request.deadline_ms
        waiting = _Waiting(request, deadline_ms, '', Queue())
        self._waiting[request.request_id] = waiting
        answer: Grant | Refuse | None = None
        try:
            answer = await self._async_ask(waiting)
        finally:
            await self._async_stop_waiting(request)
            if answer is None:
                # A grant may have come in the moment in which this gave up;
                # unless it goes back, its place is lost until a restart.
                await self.async_release(
                    request.request_id,
                    RunEnd.CANCELLED,
                    total_ms=0,
                )
        if answer is None:
            return Err(deadline_passed())
        if isinstance(answer, Refuse):
            return Err(from_refuse(answer))
        return Ok(answer)

    async def async_progress(
        self,
        request_id: str,
        first_token_ms: float,
    ) -> None:
        """Tell the owner of a first token."""
        running = self._running.get(request_id)
        if running is None:
            return
        run = running.run
        run.is_prefilling = False
        message = Progress(
            request_id=request_id,
            cell=run.cell,
            first_token_ms=int(first_token_ms),
        )
        await self._link.async_send(running.owner, message)

    async def async_release(
        self,
        request_id: str,
        end: RunEnd,
        total_ms: float,
        longest_gap_ms: float = 0,
    ) -> None:
        """Tell the owner how a run ended.

        :param longest_gap_ms: between two events of its answer.
        """
        running = self._running.pop(request_id, None)
        if running is None:
            return
        message = Release(
            request_id=request_id,
            cell=running.run.cell,
            end=end,
            total_ms=int(total_ms),
            longest_gap_ms=int(longest_gap_ms),
        )
        await self._link.async_send(running.owner, message)

    async def async_receive(self, sender: str, message: Message) -> None:
        """Act on a message of an owner."""
        self.watch.heard(sender)
        match message:
            case Grant():
                await self._async_granted(sender, message)
            case Refuse():
                await self._async_refused(sender, message)
            case Suspect():
                self._suspects.note(sender, message)

    async def async_owner_lost(self, owner: str) -> None:
        """Move all that an owner held to the next one.

        Each waiting request is still here and none of it has reached an
        upstream, so asking again can't run anything twice.
        """
        self.watch.heard(owner)
        await self._async_move(owner)

    async def async_review(self) -> None:
        """Move what membership changes have given to another owner."""
        owners = {each.owner for each in self._waiting.values()}
        owners |= {each.owner for each in self._running.values()}
        owners |= self._suspects.owners()
        for owner in owners:
            await self._async_move(owner)

    def _asked_owners(self) -> set[str]:
        owners = {each.owner for each in self._waiting.values()}
        return owners - {'', self._membership.own.instance_id}

    async def _async_ask(self, waiting: _Waiting) -> Grant | Refuse | None:
        await self._async_enqueue(waiting)
        try:
            return await async_within(
                waiting.request.deadline_ms,
                waiting.answer.get(),
            )
        except TaskTimeout:
            return None

    async def _async_enqueue(self, waiting: _Waiting) -> None:
        request = waiting.request
        owner = self._membership.owner_of(request.cell)
        left_ms = int(waiting.deadline_ms - now_ms())
        request.deadline_ms = max(left_ms, 0)
        self._waiting[request.request_id] = waiting._replace(owner=owner)
        await self.watch.async_wake()
        await self._link.async_send(owner, request)

    async def _async_stop_waiting(self, request: Enqueue) -> None:
        waiting = self._waiting.pop(request.request_id, None)
        if waiting is None:
            return
        await self._link.async_send(waiting.owner, _to_withdraw(request))

    async def _async_granted(self, sender: str, grant: Grant) -> None:
        waiting = self._waiting.get(grant.request_id)
        if waiting is None or waiting.owner != sender:
            # The caller has left, or another owner is asked by now: the place
            # goes back, or this owner would count a run that never starts.
            await self._async_decline(sender, grant)
            return
        self._waiting.pop(grant.request_id)
        run = _to_register(waiting.request, grant.upstream)
        self._running[grant.request_id] = _Running(run, sender)
        await waiting.answer.put(grant)

    async def _async_decline(self, sender: str, grant: Grant) -> None:
        running = self._running.get(grant.request_id)
        if running is not None and running.owner == sender:
            return
        await self._link.async_send(sender, _to_cancelled(grant))

    async def _async_refused(self, sender: str, refusal: Refuse) -> None:
        waiting = self._waiting.get(refusal.request_id)
        if waiting is None or waiting.owner != sender:
            return
        self._waiting.pop(refusal.request_id)
        await waiting.answer.put(refusal)

    async def _async_move(self, owner: str) -> None:
        moved = [each for each in self._running.values() if each.owner == owner]
        for running in moved:
            await self._async_move_run(running)
        held = [each for each in self._waiting.values() if each.owner == owner]
        await self._suspects.async_move(owner)
        for waiting in held:
            if self._membership.owner_of(waiting.request.cell) != owner:
                await self._async_leave_queue(waiting)
                await self._async_enqueue(waiting)

    async def _async_move_run(self, running: _Running) -> None:
        run = running.run
        owner = self._membership.owner_of(run.cell)
        if owner == running.owner:
            return
        self._running[run.request_id] = _Running(run, owner)
        await self._link.async_send(owner, run)
        if self._link.is_open(running.owner):
            # The old owner lives and only lost the cell. Untold, it would
            # count this run for ever, and find its upstreams full of runs long
            # ended when the cell comes back to it.
            await self._link.async_send(running.owner, _to_cancelled(run))

    async def _async_leave_queue(self, waiting: _Waiting) -> None:
        if self._link.is_open(waiting.owner):
            await self._link.async_send(
                waiting.owner,
                _to_withdraw(waiting.request),
            )


def _to_withdraw(request: Enqueue) -> Withdraw:
    return Withdraw(request_id=request.request_id, cell=request.cell)


def _to_cancelled(run: Grant | Register) -> Release:
    return Release(
        request_id=run.request_id,
        cell=run.cell,
        end=RunEnd.CANCELLED,
        total_ms=0,
    )


def _to_register(request: Enqueue, upstream: str) -> Register:
    return Register(
        request_id=request.request_id,
        cell=request.cell,
        upstream=upstream,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        is_prefilling=True,
        fingerprint=request.fingerprint,
    )
