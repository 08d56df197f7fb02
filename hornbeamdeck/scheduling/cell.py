"""A cell: a group of upstreams and the queue of requests for them, by tier."""

import heapq
from collections.abc import Generator, Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from hornbeamdeck.scheduling.queued_request import Deliver, QueuedRequest
from hornbeamdeck.scheduling.tier_queue import TierQueue
from hornbeamdeck.scheduling.upstream_crash_tracker import UpstreamCrashTracker
from hornbeamdeck.scheduling.upstream_load import UpstreamLoad
from hornbeamdeck.version.entities import Upstream
from hornbeamdeck.wire import (
    Enqueue,
    Progress,
    RefusalReason,
    Refuse,
    Register,
    Release,
    RunEnd,
    Suspect,
)

__all__ = ('Cell', 'Granted', 'Refused')

MAX_WAIT_MS: Final = 60_000
MAX_SKIPPED: Final = 8
MIN_RETRY_MS: Final = 500
MAX_RETRY_MS: Final = 30_000


class Granted(NamedTuple):
    """A request that may run, and on which upstream.

    :param hold_reason: why it waited while upstreams had free slots, if it did.
    :param version: of the upstream's software; empty: not stated.
    :param born_ms: start of the upstream's incarnation.
    :param limit_per_s: requests per second that the upstream accepts; `None`:
        it states no limit.
    :param rejection_limit_per_s: rejections beyond which the upstream falls
        over; `None`: it does not.
    :param relays: instances that have reached the upstream lately.
    """

    queued: QueuedRequest
    upstream: str
    address: str = ''
    hold_reason: str = ''
    version: str = ''
    born_ms: int = 0
    limit_per_s: float | None = None
    rejection_limit_per_s: float | None = None
    relays: tuple[str, ...] = ()


class Refused(NamedTuple):
    """A refused request and the refusal to send to its ingress.

    :param log_fields: what the refusal was based on, as log fields.
    """

    queued: QueuedRequest
    refusal: Refuse
    log_fields: Mapping[str, object] = MappingProxyType({})


class Cell:
    """Decides which waiting request runs next and on which upstream."""

    def __init__(self) -> None:
        """Start without upstreams; `apply_configuration` adds them."""
        self.loads: dict[str, UpstreamLoad] = {}
        self.crash_tracker = UpstreamCrashTracker()
        self._tiers: dict[int, TierQueue] = {}
        self._latest_start: list[tuple[float, str, int]] = []
        self._weights: Mapping[str, int] = {}
        self._top_rank = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(map(len, self._tiers.values()))

    def apply_configuration(
        self,
        upstreams: tuple[Upstream, ...],
        *,
        weights: Mapping[str, int],
        top_rank: int,
    ) -> None:
        """Apply this cell's part of a new configuration."""
        self._weights = weights
        self._top_rank = top_rank
        names = {each.name for each in upstreams}
        for removed in self.loads.keys() - names:
            self.loads.pop(removed)
        for upstream in upstreams:
            load = self.loads.setdefault(
                upstream.name,
                UpstreamLoad(upstream),
            )
            load.upstream = upstream

    def enqueue(
        self,
        request: Enqueue,
        *,
        sender: str,
        deliver: Deliver,
        now: float,
    ) -> Refused | None:
        """Queue a request, or refuse it if it can't be served in time."""
        self.withdraw(request.request_id)
        queued = QueuedRequest(
            request=request,
            sender=sender,
            deliver=deliver,
            deadline_ms=now + request.deadline_ms,
            service_ms=_best_service_ms(self.loads.values(), request, now),
        )
        if not self.loads:
            return self._refuse(queued, RefusalReason.NO_UPSTREAM)
        if self.crash_tracker.is_confirmed_poison(request.fingerprint, now):
            return self._refuse(queued, RefusalReason.CULPRIT)
        wait_ms = self._wait_ms(request.tier_rank)
        if wait_ms + queued.service_ms > request.deadline_ms:
            return self._refuse(queued, RefusalReason.DEADLINE)
        queue = self._tiers.setdefault(request.tier_rank, TierQueue())
        queue.push(queued, now)
        entry = (
            queued.deadline_ms - queued.service_ms,
            request.request_id,
            request.tier_rank,
        )
        heapq.heappush(self._latest_start, entry)
        return None

    def shed(self) -> Iterator[Refused]:
        """Refuse requests, lowest tier first, while the queue is too long."""
        while self._wait_ms(max(self._tiers, default=0)) > MAX_WAIT_MS:
            lowest = max(rank for rank, queue in self._tiers.items() if queue)
            queue = self._tiers[lowest]
            queued = queue.newest_of_largest_team()
            queue.remove(queued.request.request_id)
            yield self._refuse(queued, RefusalReason.OVERLOADED)

    def refuse_expired(self, now: float) -> Iterator[Refused]:
        """Refuse requests that could no longer end in time if started now."""
        while self._latest_start and self._latest_start[0][0] < now:
            _, request_id, rank = heapq.heappop(self._latest_start)
            queue = self._tiers[rank]
            if request_id in queue:
                queued = queue.remove(request_id)
                yield self._refuse(queued, RefusalReason.DEADLINE)

    def place_waiting(self, now: float) -> Iterator[Granted]:
        """Place waiting requests, highest tier first, until none fits.

        A lower tier gets no slots while the next request of a higher tier can't
        be placed: small requests of the lower tier would keep taking the
        capacity that it waits for. Only a request that needs a faster upstream
        than those that are free is skipped, since it can't use the free ones.
        """
        for rank in sorted(self._tiers):
            queue = self._tiers[rank]
            skipped: list[QueuedRequest] = []
            is_full = yield from self._grants_of_tier(queue, skipped, now)
            for queued in skipped:
                queue.push(queued, now)
            if is_full:
                return

    def withdraw(self, request_id: str) -> None:
        """Remove a waiting request whose caller has disconnected."""
        for queue in self._tiers.values():
            if request_id in queue:
                queue.remove(request_id)

    def register(self, run: Register, sender: str) -> None:
        """Account for a run that another owner granted."""
        self.withdraw(run.request_id)
        load = self.loads.get(run.upstream)
        if load is not None:
            load.add(run, sender)

    def progress(self, message: Progress, now: float) -> None:
        """Record a run's first token."""
        load = self._find_running(message.request_id)
        if load is not None:
            load.first_token(message.request_id, message.first_token_ms, now)

    def release(self, message: Release, now: float) -> list[Suspect]:
        """Record the end of a run.

        :returns: the request that is suspected of crashing the upstream, if
            any.
        """
        load = self._find_running(message.request_id)
        if load is None:
            return []
        concurrent = load.fingerprints()
        run = load.release(
            message.request_id,
            message.end,
            message.total_ms,
            now,
        )
        if message.end == RunEnd.NOT_DISPATCHED:
            load.start_backoff(now)
        suspect = self.crash_tracker.record_run_end(
            load.upstream,
            run.fingerprint,
            message.end,
            concurrent=concurrent,
            now=now,
        )
        return [] if suspect is None else [suspect]

    def remove_sender(self, sender: str) -> None:
        """Remove all requests and runs of a closed connection."""
        for queue in self._tiers.values():
            removed = [each for each in queue if each.sender == sender]
            for queued in removed:
                queue.remove(queued.request.request_id)
        for load in self.loads.values():
            load.remove_sender(sender)

    def _find_running(self, request_id: str) -> UpstreamLoad | None:
        for load in self.loads.values():
            if request_id in load.runs:
                return load
        return None

    def _grants_of_tier(
        self,
        queue: TierQueue,
        skipped: list[QueuedRequest],
        now: float,
    ) -> Generator[Granted, None, bool]:
        while queue and len(skipped) < MAX_SKIPPED:
            queued = queue.next_request()
            request = queued.request
            load = self._choose_upstream(queued, now)
            if load is None:
                return True
            if self._must_skip(queued, load, now):
                skipped.append(queue.remove(request.request_id))
                continue
            weight = self._weights.get(request.team, 1)
            cost_ms = _service_ms(load, request)
            queue.serve(request.request_id, weight, cost_ms, now)
            load.add(_to_register(queued, load), queued.sender)
            yield Granted(queued, load.upstream.name)
        return False

    def _must_skip(
        self,
        queued: QueuedRequest,
        load: UpstreamLoad,
        now: float,
    ) -> bool:
        request = queued.request
        needed_ms = load.confidence(now) * _service_ms(load, request)
        if now + needed_ms > queued.deadline_ms:
            # It would end too late there and its prefill would be wasted.
            return True
        running = (
            fingerprint
            for other in self.loads.values()
            for fingerprint in other.fingerprints()
        )
        return self.crash_tracker.must_wait(request.fingerprint, running, now)

    def _choose_upstream(
        self, queued: QueuedRequest, now: float
    ) -> UpstreamLoad | None:
        request = queued.request
        is_top_tier = request.tier_rank == self._top_rank
        excluded = request.excluded or ()
        candidates = (
            load
            for name, load in self.loads.items()
            if name not in excluded
            and load.can_accept(
                request.prompt_tokens,
                is_top_tier=is_top_tier,
                now=now,
            )
        )
        return min(
            candidates,
            key=lambda load: (
                _service_ms(load, request),
                len(load.runs) / load.upstream.max_running,
            ),
            default=None,
        )

    def _wait_ms(self, rank: int) -> float:
        work_ms = sum(
            queue.service_ms
            for other, queue in self._tiers.items()
            if other <= rank
        )
        slots = sum(load.upstream.max_running for load in self.loads.values())
        return work_ms / max(slots, 1)

    def _refuse(self, queued: QueuedRequest, reason: RefusalReason) -> Refused:
        wait_ms = self._wait_ms(queued.request.tier_rank)
        retry_ms = min(max(int(wait_ms), MIN_RETRY_MS), MAX_RETRY_MS)
        refusal = Refuse(
            request_id=queued.request.request_id,
            reason=reason,
            retry_after_ms=retry_ms,
        )
        return Refused(queued, refusal)


def _best_service_ms(
    loads: Iterable[UpstreamLoad],
    request: Enqueue,
    now: float,
) -> float:
    return min(
        (
            load.confidence(now)
            * load.speed.service_ms(
                request.prompt_tokens,
                request.output_tokens,
            )
            for load in loads
        ),
        default=0,
    )


def _service_ms(load: UpstreamLoad, request: Enqueue) -> float:
    return load.service_ms(request.prompt_tokens, request.output_tokens)


def _to_register(queued: QueuedRequest, load: UpstreamLoad) -> Register:
    return Register(
        request_id=queued.request.request_id,
        cell=queued.request.cell,
        upstream=load.upstream.name,
        prompt_tokens=queued.request.prompt_tokens,
        output_tokens=queued.request.output_tokens,
        is_prefilling=True,
        fingerprint=queued.request.fingerprint,
    )
