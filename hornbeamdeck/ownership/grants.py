"""The ingress side of the grant protocol.

Every request of this process is recorded here until its response is complete,
as waiting for a grant or as running. When the owner of a request's cell is
lost, a waiting request is enqueued with the next owner and a running one is
registered there. The next owner thus rebuilds its view of the upstreams from
the ingress instances alone.
"""

from typing import NamedTuple

from curio import Queue
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.engines.engine_statements import EngineStatements
from hornbeamdeck.membership.membership import Membership
from hornbeamdeck.membership.peers import Peers
from hornbeamdeck.ownership.owner_link import OwnerLink
from hornbeamdeck.ownership.owner_watch import OwnerWatch
from hornbeamdeck.ownership.poison_reports import PoisonReports
from hornbeamdeck.ownership.scheduler import Scheduler
from hornbeamdeck.request.gateway_request import RunSummary
from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.request.refusal import (
    deadline_passed,
    instance_stops,
    refusal_from_owner,
)
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
    decisions: Queue


class _Running(NamedTuple):
    run: Register
    owner: str


class Grants:
    """Requests grants from the owners of cells and reports runs to them."""

    def __init__(
        self,
        membership: Membership,
        peers: Peers,
        scheduler: Scheduler,
    ) -> None:
        """Start without requests."""
        self._membership = membership
        self.link = OwnerLink(membership, peers, scheduler)
        self.link.set_callbacks(self.async_receive)
        self._waiting: dict[str, _Waiting] = {}
        self._running: dict[str, _Running] = {}
        self._poison_reports = PoisonReports(membership, self.link)
        self.engine_statements = EngineStatements(membership, self.link)
        self.owner_watch = OwnerWatch(peers, self._awaited_owners)

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a grant."""
        return len(self._waiting)

    async def async_acquire(self, request: Enqueue) -> Result[Grant, NotRun]:
        """Wait for a grant, which names the upstream for the request."""
        deadline_ms = now_ms() + request.deadline_ms
        waiting = _Waiting(request, deadline_ms, '', Queue())
        self._waiting[request.request_id] = waiting
        decision: Grant | Refuse | NotRun | None = None
        try:
            decision = await self._async_enqueue_and_wait(waiting)
        finally:
            await self._async_stop_waiting(request)
            if decision is None:
                # A grant may have arrived just as the wait ended. Unless it is
                # released, its slot is lost until a restart.
                await self.async_release(
                    request.request_id,
                    RunEnd.CANCELLED,
                    RunSummary(is_unsent=not request.dispatches),
                )
        if decision is None:
            return Err(deadline_passed(request.fingerprint))
        if isinstance(decision, NotRun):
            return Err(decision)
        if isinstance(decision, Refuse):
            return Err(refusal_from_owner(decision))
        return Ok(decision)

    async def async_report_first_token(
        self, request_id: str, first_token_ms: float
    ) -> None:
        """Report the first token of a run to the owner."""
        running = self._running.get(request_id)
        if running is None:
            return
        message = Progress(
            request_id=request_id,
            cell=running.run.cell,
            first_token_ms=int(first_token_ms),
        )
        await self.async_report_progress(message)

    async def async_report_progress(self, progress: Progress) -> None:
        """Report the first token of a run, or what is known of its engine.

        The latter may be known only once the run has ended.
        """
        running = self._running.get(progress.request_id)
        if running is not None:
            running.run.is_prefilling = False
            await self.link.async_send(running.owner, progress)
        elif progress.is_certain is not None:
            await self.link.async_send_to_current(progress)

    async def async_release(
        self,
        request_id: str,
        end: RunEnd,
        summary: RunSummary,
    ) -> None:
        """Report the end of a run to the owner."""
        running = self._running.pop(request_id, None)
        if running is None:
            return
        message = Release(
            request_id=request_id,
            cell=running.run.cell,
            end=end,
            total_ms=int(summary.total_ms),
            longest_gap_ms=int(summary.longest_gap_ms),
            output_tokens=summary.output_tokens,
            first_byte_ms=int(summary.first_byte_ms),
            relay=summary.relay or None,
            is_unsent=summary.is_unsent or None,
        )
        await self.link.async_send(running.owner, message)

    async def async_receive(self, sender: str, message: Message) -> None:
        """Handle a message from an owner."""
        self.owner_watch.record_message(sender)
        match message:
            case Grant():
                await self._async_granted(sender, message)
            case Refuse():
                await self._async_refused(sender, message)
            case Suspect():
                self._poison_reports.record(sender, message)

    async def async_owner_lost(self, owner: str) -> None:
        """Move the requests of a lost owner to the next one.

        Each waiting request is still recorded here and has not reached an
        upstream, so enqueueing it again can't run it twice.
        """
        self.owner_watch.record_message(owner)
        await self._async_move(owner)

    async def async_move_to_current_owners(self) -> None:
        """Move requests whose cells have changed owners."""
        owners = {each.owner for each in self._waiting.values()}
        owners |= {each.owner for each in self._running.values()}
        owners |= self._poison_reports.owners()
        owners |= self.engine_statements.owners()
        for owner in owners:
            await self._async_move(owner)

    async def async_refuse_waiting(self) -> int:
        """Refuse the requests that still wait when this process ends.

        :returns: how many they are.
        """
        waiting = tuple(self._waiting.values())
        for each in waiting:
            await each.decisions.put(instance_stops())
        return len(waiting)

    def _awaited_owners(self) -> set[str]:
        owners = {each.owner for each in self._waiting.values()}
        return owners - {'', self._membership.own_status.instance_id}

    async def _async_enqueue_and_wait(
        self, waiting: _Waiting
    ) -> Grant | Refuse | NotRun | None:
        await self._async_enqueue(waiting)
        try:
            return await async_with_timeout(
                waiting.request.deadline_ms,
                waiting.decisions.get(),
            )
        except TaskTimeout:
            return None

    async def _async_enqueue(self, waiting: _Waiting) -> None:
        request = waiting.request
        owner = self._membership.owner_of(request.cell)
        left_ms = int(waiting.deadline_ms - now_ms())
        request.deadline_ms = max(left_ms, 0)
        self._waiting[request.request_id] = waiting._replace(owner=owner)
        await self.owner_watch.async_start_probing()
        await self.link.async_send(owner, request)

    async def _async_stop_waiting(self, request: Enqueue) -> None:
        waiting = self._waiting.pop(request.request_id, None)
        if waiting is None:
            return
        await self.link.async_send(waiting.owner, _to_withdraw(request))

    async def _async_granted(self, sender: str, grant: Grant) -> None:
        waiting = self._waiting.get(grant.request_id)
        if waiting is None or waiting.owner != sender:
            # The caller has disconnected, or the request has moved to another
            # owner. The slot is returned, since this owner would otherwise
            # count a run that never starts.
            running = self._running.get(grant.request_id)
            if running is None or running.owner != sender:
                unused = _to_cancelled(grant)
                unused.is_unsent = True
                await self.link.async_send(sender, unused)
            return
        self._waiting.pop(grant.request_id)
        run = _to_register(waiting.request, grant.upstream)
        self._running[grant.request_id] = _Running(run, sender)
        await waiting.decisions.put(grant)

    async def _async_refused(self, sender: str, refusal: Refuse) -> None:
        waiting = self._waiting.get(refusal.request_id)
        if waiting is None or waiting.owner != sender:
            return
        self._waiting.pop(refusal.request_id)
        await waiting.decisions.put(refusal)

    async def _async_move(self, owner: str) -> None:
        # Before the requests, which the successor grants at once.
        await self.engine_statements.async_move_to_successor(owner)
        runs = [each for each in self._running.values() if each.owner == owner]
        for running in runs:
            await self._async_move_run(running)
        queued = [
            each for each in self._waiting.values() if each.owner == owner
        ]
        await self._poison_reports.async_move_to_successor(owner)
        for waiting in queued:
            if self._membership.owner_of(waiting.request.cell) != owner:
                waiting.request.is_moved = True
                await _async_leave_queue(self.link, waiting)
                await self._async_enqueue(waiting)

    async def _async_move_run(self, running: _Running) -> None:
        run = running.run
        owner = self._membership.owner_of(run.cell)
        if owner == running.owner:
            return
        self._running[run.request_id] = _Running(run, owner)
        await self.link.async_send(owner, run)
        if self.link.is_connected(running.owner):
            # The old owner is live and has only lost the cell. Without this
            # message it would count the run forever, and its upstreams would
            # appear full of ended runs if it became the owner again.
            moved = _to_cancelled(run)
            moved.is_moved = True
            await self.link.async_send(running.owner, moved)


async def _async_leave_queue(link: OwnerLink, waiting: _Waiting) -> None:
    if link.is_connected(waiting.owner):
        await link.async_send(waiting.owner, _to_withdraw(waiting.request))


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
        shared_parts=request.shared_parts,
    )
