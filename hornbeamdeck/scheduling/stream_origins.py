"""Which version of a service's engines began each stream.

Load pattern: many instances die at once, and the callers of all streams that
they relayed go on with them at other instances within milliseconds, while
engines of several versions serve. What two versions write does not fit
together, so each stream goes on at the version that began it, or not at all.

The owner knows the version of each grant. It is the only one that every
instance asks, and it passes on what it knows to its successors. That version is
of the engine's entry, which may describe an earlier incarnation. So a stream
goes on only once it is certain which incarnation began it.
"""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Final, NamedTuple, TypeAlias

from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.origin import (
    OWN_GRANT,
    GrantedIncarnation,
    Origin,
)
from hornbeamdeck.scheduling.tenure import OwnedSince, never_owned
from hornbeamdeck.scheduling.version_history import HISTORY_MS, VersionHistory
from hornbeamdeck.wire import Enqueue, Progress, StreamOrigin

__all__ = (
    'IsCertain',
    'OriginBook',
    'OriginQuestion',
    'VersionQuestion',
    'always_confirmed',
)

# The oldest are dropped first.
MAX_ORIGINS: Final = 20_000
# Engines whose last incarnation is remembered, also while they are not listed.
MAX_ENGINES: Final = 2000
# An instance that hears of a smaller share of the fleet may be cut off.
MIN_FLEET_SHARE: Final = 0.5
SETTLE_INTERVAL_MS: Final = 500.0
# How long a stream of unknown origin waits for what the store holds of it.
LEARN_VERSIONS_MS: Final = 900.0

# Takes an engine's name, the start of an incarnation that was listed and a
# later time. Returns whether the engine ran that incarnation then.
IsCertain: TypeAlias = Callable[[str, int, float], bool]


class OriginQuestion(NamedTuple):
    """What an engine can tell of a stream's origin.

    :param engine: the incarnation that was granted.
    :param begun_ms: the time at which it has to have run.
    """

    engine: Engine
    begun_ms: float


class VersionQuestion(NamedTuple):
    """What the store can tell of a stream that nobody knows.

    :param version: the only one that can have begun it, unless the store names
        another one; `None`: it is not known which ones served before.
    """

    version: str | None


def _hear_of_all() -> float:
    return 1.0


def always_confirmed() -> float:
    """Return a time for a list of engines that never changes."""
    return math.inf


def _age_for_log(age_ms: float) -> int:
    return int(max(min(age_ms, HISTORY_MS), 0))


def _only_version(
    history: VersionHistory, fleet_share: float, now: float
) -> str | None:
    """Return the only known version that may have begun unknown streams."""
    return history.only_version(now) if fleet_share >= MIN_FLEET_SHARE else None


def _is_same(engine: Engine, other: Engine) -> bool:
    return (engine.born_ms, engine.version) == (other.born_ms, other.version)


def _is_news_of_unlisted(reported: Origin, known: Origin | None) -> bool:
    """Return whether a version that was never listed may have run a stream."""
    if not reported.is_begun or reported.version is not None:
        return False
    return known is None or known.version is not None


def _is_evidence(
    is_certain: bool | None,  # noqa: FBT001
    incarnation: GrantedIncarnation | None,
    origin: Origin,
) -> bool:
    """Return whether what was seen of a grant's engine is about an origin.

    It may have been seen to be what another owner granted.
    """
    if is_certain is None or origin.is_granted_elsewhere:
        return False
    if incarnation is None or not is_certain:
        return True
    return origin.version == incarnation.version


def _newest(
    origins: dict[str, Origin], sequence: int
) -> Iterator[tuple[str, Origin]]:
    for request_id in reversed(origins):
        origin = origins[request_id]
        if origin.sequence <= sequence:
            return
        yield request_id, origin


def _is_oldest_due(origins: Mapping[str, Origin], now: float) -> bool:
    oldest = next(iter(origins.values()), None)
    if oldest is None:
        return False
    return len(origins) > MAX_ORIGINS or oldest.expires_ms < now


class OriginBook:
    """Origins of the streams of one service that callers may go on with."""

    def __init__(
        self,
        is_certain: IsCertain,
        fleet_share: Callable[[], float] = _hear_of_all,
        engines_confirmed_ms: Callable[[], float] = always_confirmed,
        owned_since: OwnedSince = never_owned,
    ) -> None:
        """Start without streams.

        :param is_certain: returns whether an engine ran an incarnation at a
            time.
        :param fleet_share: returns the share of the fleet's instances that are
            heard of here.
        :param engines_confirmed_ms: returns when the store was last asked for
            the list of engines that is held here.
        :param owned_since: returns since when this process has been the only
            owner.
        """
        self._is_certain = is_certain
        self._fleet_share = fleet_share
        self._engines_confirmed_ms = engines_confirmed_ms
        self.history = VersionHistory(owned_since)
        # Whether the store may hold origins that were not read yet.
        self.awaits_stored = False
        # Of the last change.
        self.sequence = 0
        self._origins: dict[str, Origin] = {}
        # By name, as last listed, the one listed last in the end.
        self._engines: dict[str, Engine] = {}
        self._listed: Mapping[str, Engine] = {}
        # Requests whose origins the list may show to be certain.
        self._unsettled: dict[str, None] = {}
        self._settled_ms = -math.inf

    def __len__(self) -> int:
        """Return the number of streams whose origin is known."""
        return len(self._origins)

    def update_engines(self, engines: Iterable[Engine], now: float) -> None:
        """Apply a new list of engines.

        An engine that has started again under the same name may have run
        requests before its entry was read, and at yet another version.
        """
        listed = {engine.name: engine for engine in engines}
        self.history.update((each.version for each in listed.values()), now)
        changed = {
            name: engine
            for name, engine in listed.items()
            if not _is_same(self._engines.get(name, engine), engine)
        }
        if changed:
            self._settle_changed(changed, now)
        self._listed = listed
        for name, engine in listed.items():
            self._engines.pop(name, None)
            self._engines[name] = engine
        while len(self._engines) > MAX_ENGINES:
            self._engines.pop(next(iter(self._engines)))

    def bind(self, request: Enqueue, now: float, *, asked_ms: float) -> bool:
        """Set the version that a request may use, if it goes on with a stream.

        :param asked_ms: when the request arrived, and so a time after its
            stream began.
        :returns: whether that version is known.
        """
        if request.resumes is None:
            known = self._origins.get(request.request_id)
            is_in_doubt = known is not None and known.is_in_doubt
            return request.version is None or not is_in_doubt
        request.version = self._find(request, now, asked_ms)
        return request.version is not None

    def describe(self, request: Enqueue, now: float) -> dict[str, object]:
        """Return what the version of a request's stream is based on.

        The keys are log fields.
        """
        origin = self._origins.get(request.resumes or '')
        fields: dict[str, object] = {
            'resumed_request': request.resumes,
            'engine_version': request.version,
            'versions': sorted(self.history.versions(now)),
            'is_history_complete': self.history.is_complete(now),
            'engines_age_ms': _age_for_log(now - self._engines_confirmed_ms()),
            'fleet_share': round(self._fleet_share(), 2),
        }
        if origin is not None:
            fields.update(
                origin_engine=origin.engine,
                origin_version=origin.version,
                origin_born_ms=origin.born_ms,
                origin_source=origin.source,
                is_begun=origin.is_begun,
                is_certain=origin.is_certain,
            )
        return fields

    def may_learn(self, now: float) -> bool:
        """Return whether an unknown stream may be known in a moment.

        A process that becomes the owner reads from the store which versions
        served before, and which of them began which stream.
        """
        if self.awaits_stored:
            return True
        if self.history.is_read or self.history.is_complete(now):
            return False
        return len(self.history.versions(now)) <= 1

    def learnable_until_ms(self, request: Enqueue, now: float) -> float:
        """Return until when the version of a request's stream may be learned.

        :returns: minus infinity if nothing can be learned any more.
        """
        if request.resumes is None:
            return -math.inf
        origin = self._origins.get(request.resumes)
        if origin is not None and origin.can_be_resumed(request, now):
            listed = self._listed.get(origin.engine)
            return origin.learnable_until_ms(listed, now)
        question = self.question(request, now)
        return now + LEARN_VERSIONS_MS if question else -math.inf

    def question(
        self, request: Enqueue, now: float
    ) -> OriginQuestion | VersionQuestion | None:
        """Return who can make a waiting request's stream certain, if any."""
        if request.resumes is None or request.version is not None:
            return None
        origin = self._origins.get(request.resumes)
        if origin is None or not origin.can_be_resumed(request, now):
            guessed = _only_version(self.history, self._fleet_share(), now)
            if guessed is None and not self.may_learn(now):
                return None
            return VersionQuestion(guessed)
        listed = self._listed.get(origin.engine)
        if listed is None or origin.begun_ms is None:
            return None
        if not origin.can_be_confirmed_by(listed) or self._is_proven(origin):
            return None
        return OriginQuestion(listed, origin.begun_ms)

    def record_grant(
        self, request: Enqueue, engine: Engine, now: float
    ) -> None:
        """Record the engine of a grant, unless its stream can't be resumed."""
        if request.resumable_ms is not None:
            origin = Origin.from_grant(request, engine, now)
            self._put(request.request_id, origin, now)

    def record_first_event(
        self,
        request_id: str,
        engine: Engine | None,
        now: float,
        *,
        is_certain: bool | None = None,
        message: Progress | None = None,
    ) -> None:
        """Record that an engine has begun a stream.

        What another owner has reported of the request may be an earlier grant,
        which brought no event.

        :param engine: `None`: the run has ended.
        :param is_certain: whether the engine was seen to be the incarnation
            that was granted. This may be reported after the first event.
            `False`: it has stated another start, and may run a version that
            was never listed.
        :param message: may name the grant, possibly that of another owner.
        """
        if is_certain is False:
            self.history.record_unlisted(now)
        known = self._origins.get(request_id)
        if known is None:
            return
        incarnation = message and GrantedIncarnation.from_progress(message)
        origin = known
        if engine is not None and not known.is_begun:
            origin = (
                known.begun_by_grant(incarnation, now)
                if incarnation
                else known.begun_at(engine, now)
            )
        if _is_evidence(is_certain, incarnation, origin):
            origin = origin.as_certain() if is_certain else origin.as_refuted()
        if origin != known:
            self._put(request_id, origin._replace(source=OWN_GRANT), now)

    def merge(
        self, origins: Iterable[StreamOrigin], source: str, now: float
    ) -> None:
        """Apply what another instance knows."""
        for reported in origins:
            known = self._origins.get(reported.request_id)
            origin = Origin.from_wire(reported, source, now)
            if _is_news_of_unlisted(origin, known):
                self.history.record_unlisted(now)
            if known is not None:
                origin = known.merged(origin)
            if origin != known:
                self._put(reported.request_id, origin, now)

    def changed_since(
        self, sequence: int, receiver: str, now: float
    ) -> list[StreamOrigin]:
        """Return what an instance has not been told yet.

        :param sequence: of the last change that it has been told.
        :param receiver: the instance; it knows what it has reported itself.
        """
        return [
            origin.to_wire(request_id, now, is_certain=self._is_proven(origin))
            for request_id, origin in _newest(self._origins, sequence)
            if origin.source != receiver and origin.expires_ms > now
        ]

    def settle(self, now: float) -> None:
        """Keep what the list shows now; it is no evidence after an outage."""
        if now < self._settled_ms + SETTLE_INTERVAL_MS:
            return
        self._settled_ms = now
        for request_id in tuple(self._unsettled):
            origin = self._origins.get(request_id)
            if origin is None or origin.is_settled(now):
                self._unsettled.pop(request_id)
            elif self._is_proven(origin):
                self._put(request_id, origin.as_certain(), now)

    def forget_source(self, instance: str) -> None:
        """Take an instance for one that has lost what it reported."""
        for request_id, origin in self._origins.items():
            if origin.source == instance:
                self._origins[request_id] = origin._replace(source=OWN_GRANT)

    def _find(
        self, request: Enqueue, now: float, asked_ms: float
    ) -> str | None:
        origin = self._origins.get(request.resumes)
        if origin is None or not origin.can_be_resumed(request, now):
            # An instance that stood still or was cut off may have missed a
            # version that has begun streams at others.
            is_confirmed = self.history.is_confirmed_since(
                asked_ms, self._engines_confirmed_ms()
            )
            guessed = _only_version(self.history, self._fleet_share(), now)
            return guessed if is_confirmed else None
        if not self._is_proven(origin):
            return None
        if not origin.is_certain:
            self._put(request.resumes, origin.as_certain(), now)
        return origin.version

    def _is_proven(self, origin: Origin) -> bool:
        """Return whether an engine of the recorded version began a stream."""
        if origin.is_certain:
            return True
        if origin.version is None or origin.born_ms is None:
            return False
        return origin.begun_ms is not None and self._is_certain(
            origin.engine, origin.born_ms, origin.begun_ms
        )

    def _put(self, request_id: str, origin: Origin, now: float) -> None:
        """Put an origin last, which keeps the order of the changes."""
        self.sequence += 1
        self._origins.pop(request_id, None)
        self._origins[request_id] = origin._replace(sequence=self.sequence)
        if origin.is_begun and not origin.is_certain:
            self._unsettled[request_id] = None
        while _is_oldest_due(self._origins, now):
            self._origins.pop(next(iter(self._origins)))

    def _settle_changed(
        self, changed: Mapping[str, Engine], now: float
    ) -> None:
        """Settle which streams an earlier incarnation is certain to have run.

        The list will show nothing more of it.

        :param changed: the listed incarnations, by name.
        """
        unsettled = [
            (request_id, origin)
            for request_id, origin in self._origins.items()
            if origin.is_unlike(changed.get(origin.engine))
        ]
        for request_id, origin in unsettled:
            listed = changed[origin.engine]
            # An incarnation has one version.
            is_ambiguous = origin.born_ms == listed.born_ms
            if not is_ambiguous and self._is_proven(origin):
                settled = origin.as_certain()
            else:
                settled = origin._replace(born_ms=None)
            self._put(request_id, settled, now)
