"""Which version of a service's engines began each stream.

Load pattern: many instances die at once, and the callers of all streams that
they relayed go on with them at other instances within milliseconds, while
engines of several versions serve. What two versions write does not fit
together, so each stream goes on at the version that began it, or not at all.

The owner knows the version of each grant. It is the only one that every
instance asks, and it passes on what it knows to its successors.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Final, NamedTuple, TypeAlias

from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.version_history import (
    HISTORY_MS,
    VersionHistory,
)
from hornbeamdeck.wire import Enqueue, StreamOrigin

__all__ = ('OriginBook',)

# The oldest are dropped first.
MAX_ORIGINS: Final = 20_000
# Engines whose last version is remembered, also while they are not listed.
MAX_ENGINES: Final = 2000
# An instance that hears of a smaller share of the fleet may be cut off.
MIN_FLEET_SHARE: Final = 0.5
# Source of an origin that was granted here.
OWN_GRANT: Final = ''


_Progress: TypeAlias = tuple[bool, int]


class _Origin(NamedTuple):
    """How a stream began.

    :param attempt: number of engines that were named to its request before.
    :param is_begun: whether the engine has made the first event. Until then,
        another engine may still begin the stream.
    :param version: `None`: not certain.
    :param source: the instance that reported it, or `OWN_GRANT`.
    :param sequence: increases with each change of any origin.
    """

    team: str
    engine: str
    attempt: int
    is_begun: bool
    version: str | None
    expires_ms: float
    source: str
    sequence: int

    def is_superseded_by(self, reported: StreamOrigin) -> bool:
        """Return whether a report changes what is known."""
        progress = _progress_of(reported)
        if self.progress != progress:
            return self.progress < progress
        return self.version is not None and self.version != reported.version

    @property
    def progress(self) -> _Progress:
        """How far the stream has come; the furthest report counts."""
        return (self.is_begun, self.attempt)


def _progress_of(reported: StreamOrigin) -> _Progress:
    return (bool(reported.is_begun), int(reported.attempt))


def _from_wire(reported: StreamOrigin, source: str, now: float) -> _Origin:
    return _Origin(
        team=reported.team,
        engine=reported.upstream,
        attempt=reported.attempt,
        is_begun=bool(reported.is_begun),
        version=reported.version,
        expires_ms=now + min(reported.left_ms, HISTORY_MS),
        source=source,
        sequence=0,
    )


def _hear_of_all() -> float:
    return 1.0


class OriginBook:
    """Origins of the streams of one service that callers may go on with."""

    def __init__(self, fleet_share: Callable[[], float] = _hear_of_all) -> None:
        """Start without streams.

        :param fleet_share: returns the share of the fleet's instances that are
            heard of here.
        """
        self._fleet_share = fleet_share
        self.history = VersionHistory()
        # Of the last change.
        self.sequence = 0
        self._origins: dict[str, _Origin] = {}
        # By name, the one listed last in the end.
        self._engine_versions: dict[str, str] = {}

    def __len__(self) -> int:
        """Return the number of streams whose origin is known."""
        return len(self._origins)

    def update_engines(self, engines: Iterable[Engine], now: float) -> None:
        """Apply a new list of engines.

        An engine that has started again at another version under the same name
        may have run requests at that version before its entry was read.
        """
        listed = {engine.name: engine.version for engine in engines}
        self.history.update(listed.values(), now)
        changed = {
            name
            for name, version in listed.items()
            if self._engine_versions.get(name, version) != version
        }
        if changed:
            self._doubt(changed)
        for name, version in listed.items():
            self._engine_versions.pop(name, None)
            self._engine_versions[name] = version
        while len(self._engine_versions) > MAX_ENGINES:
            self._engine_versions.pop(next(iter(self._engine_versions)))

    def bind(self, request: Enqueue, now: float) -> bool:
        """Set the version that a request may use, if it goes on with a stream.

        :returns: whether that version is known.
        """
        if request.resumes is None:
            known = self._origins.get(request.request_id)
            is_in_doubt = known is not None and known.version is None
            return request.version is None or not is_in_doubt
        request.version = self._find(request, now)
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
        }
        if origin is not None:
            fields.update(
                origin_engine=origin.engine,
                origin_version=origin.version,
                origin_source=origin.source,
                is_begun=origin.is_begun,
            )
        return fields

    def may_learn(self, now: float) -> bool:
        """Return whether the versions of the past may be known in a moment.

        A process that has just started reads them from the store.
        """
        is_complete = self.history.is_complete(now)
        return not is_complete and len(self.history.versions(now)) <= 1

    def record_grant(
        self, request: Enqueue, engine: Engine, now: float
    ) -> None:
        """Record the engine of a grant, unless its stream can't be resumed."""
        if request.resumable_ms is None:
            return
        left_ms = min(float(request.resumable_ms), HISTORY_MS)
        self._put(
            request.request_id,
            _Origin(
                team=request.team,
                engine=engine.name,
                attempt=len(request.excluded or ()),
                # Only a stream that has begun is bound to a version.
                is_begun=request.version is not None,
                version=engine.version,
                expires_ms=now + left_ms,
                source=OWN_GRANT,
                sequence=0,
            ),
            now,
        )

    def record_first_event(
        self, request_id: str, engine: Engine, now: float
    ) -> None:
        """Record that an engine has begun a stream.

        What another owner has reported of the request may be an earlier grant,
        which brought no event.
        """
        origin = self._origins.get(request_id)
        if origin is None or origin.is_begun:
            return
        if origin.engine != engine.name:
            origin = origin._replace(engine=engine.name, version=engine.version)
        origin = origin._replace(is_begun=True, source=OWN_GRANT)
        self._put(request_id, origin, now)

    def merge(
        self, origins: Iterable[StreamOrigin], source: str, now: float
    ) -> None:
        """Apply what another instance knows.

        If two owners have granted the same attempt different versions, it is
        not certain which one ran.
        """
        for reported in origins:
            known = self._origins.get(reported.request_id)
            origin = _from_wire(reported, source, now)
            if known is not None and known.progress == origin.progress:
                # The reporter has to be told of the difference, too.
                origin = origin._replace(version=None, source=OWN_GRANT)
            if known is None or known.is_superseded_by(reported):
                self._put(reported.request_id, origin, now)

    def changed_since(
        self, sequence: int, receiver: str, now: float
    ) -> list[StreamOrigin]:
        """Return what an instance has not been told yet.

        :param sequence: of the last change that it has been told.
        :param receiver: the instance; it knows what it has reported itself.
        """
        return [
            StreamOrigin(
                request_id=request_id,
                team=origin.team,
                upstream=origin.engine,
                attempt=origin.attempt,
                left_ms=int(origin.expires_ms - now),
                version=origin.version,
                is_begun=origin.is_begun,
            )
            for request_id, origin in self._newest(sequence)
            if origin.source != receiver and origin.expires_ms > now
        ]

    def forget_source(self, instance: str) -> None:
        """Take an instance for one that has lost what it reported."""
        for request_id, origin in self._origins.items():
            if origin.source == instance:
                self._origins[request_id] = origin._replace(source=OWN_GRANT)

    def _find(self, request: Enqueue, now: float) -> str | None:
        origin = self._origins.get(request.resumes)
        if (
            origin is None
            or origin.expires_ms < now
            or origin.team != request.team
            or not origin.is_begun
        ):
            return self._only_version(now)
        return origin.version

    def _only_version(self, now: float) -> str | None:
        """Return the only version that can have begun an unknown stream.

        An instance that is cut off from the others may have missed a version
        that has begun streams at theirs.
        """
        if self._fleet_share() < MIN_FLEET_SHARE:
            return None
        return self.history.only_version(now)

    def _newest(self, sequence: int) -> Iterator[tuple[str, _Origin]]:
        for request_id in reversed(self._origins):
            origin = self._origins[request_id]
            if origin.sequence <= sequence:
                return
            yield request_id, origin

    def _put(self, request_id: str, origin: _Origin, now: float) -> None:
        """Put an origin last, which keeps the order of the changes."""
        self.sequence += 1
        self._origins.pop(request_id, None)
        self._origins[request_id] = origin._replace(sequence=self.sequence)
        while self._origins and self._is_oldest_due(now):
            self._origins.pop(next(iter(self._origins)))

    def _is_oldest_due(self, now: float) -> bool:
        oldest = next(iter(self._origins.values()))
        return len(self._origins) > MAX_ORIGINS or oldest.expires_ms < now

    def _doubt(self, engines: set[str]) -> None:
        in_doubt = [
            (request_id, origin)
            for request_id, origin in self._origins.items()
            if origin.engine in engines and origin.version is not None
        ]
        for request_id, origin in in_doubt:
            self.sequence += 1
            self._origins.pop(request_id)
            self._origins[request_id] = origin._replace(
                version=None, sequence=self.sequence
            )
