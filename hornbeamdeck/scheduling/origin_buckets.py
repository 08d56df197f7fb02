"""How the origins of begun streams are laid out in a few objects.

The store prices calls and not bytes, so an object holds many origins and is
written again as it fills. The names of the objects form a ring: where all are
full, the next one replaces the oldest.
"""

from collections.abc import Iterable, Iterator, Mapping
from itertools import islice
from typing import Any, Final, NamedTuple, TypeAlias

from hornbeamdeck.scheduling.version_history import HISTORY_MS
from hornbeamdeck.wire import StreamOrigin

__all__ = ('BUCKETS', 'OriginBuckets', 'StreamId', 'is_storable')

BUCKETS: Final = 40
MAX_BUCKET_ORIGINS: Final = 500
# An object may have a megabyte, and an escaped character has six bytes.
MAX_BUCKET_CHARACTERS: Final = 120_000
MAX_ORIGIN_CHARACTERS: Final = 2000
# Quotes, brackets and the number of the attempt.
EXTRA_CHARACTERS: Final = 30
# Peers are told the attempt as a number of 16 bits.
MAX_ATTEMPT: Final = 1000
# Team, engine, version and attempt.
_ENTRY_TYPES: Final = (str, str, str, int)

# By service and by the id of the request that began the stream.
Stored: TypeAlias = dict[str, dict[str, list[Any]]]


class StreamId(NamedTuple):
    """A stream, by the request that began it."""

    service: str
    request_id: str


class _Kept(NamedTuple):
    origin: StreamOrigin
    expires_ms: float

    @property
    def identity(self) -> tuple[str, str]:
        """What tells whether a caller may go on, and where."""
        return (self.origin.team, self.origin.version)


def is_storable(origin: StreamOrigin) -> bool:
    """Return whether an origin outlasts this process: it is certain."""
    is_begun = origin.is_begun and origin.version is not None
    return bool(is_begun and origin.is_certain)


class _Bucket:
    """The origins in one object."""

    def __init__(self) -> None:
        self.origins: dict[StreamId, _Kept] = {}
        self._characters = 0

    def put(self, stream: StreamId, kept: _Kept) -> None:
        self.pop(stream)
        self.origins[stream] = kept
        self._characters += _characters(stream, kept.origin)

    def pop(self, stream: StreamId) -> None:
        kept = self.origins.pop(stream, None)
        if kept is not None:
            self._characters -= _characters(stream, kept.origin)

    def is_full(self) -> bool:
        return (
            len(self.origins) >= MAX_BUCKET_ORIGINS
            or self._characters >= MAX_BUCKET_CHARACTERS
        )

    def expired(self, now: float) -> list[StreamId]:
        return [
            stream
            for stream, kept in self.origins.items()
            if kept.expires_ms < now
        ]


class OriginBuckets:
    """The origins in all objects, and which objects are to be written."""

    def __init__(self) -> None:
        """Start without origins."""
        self._buckets = tuple(_Bucket() for _ in range(BUCKETS))
        self._numbers: dict[StreamId, int] = {}
        # Found in objects, and not what an owner writes.
        self.left_out = 0
        # The one that is filled now.
        self._current = 0
        # In the order in which they are to be written.
        self._due: dict[int, None] = {}

    def __len__(self) -> int:
        """Return the number of origins."""
        return len(self._numbers)

    def apply(
        self, service: str, origins: Iterable[StreamOrigin], now: float
    ) -> int:
        """Apply what is known now of some streams.

        :returns: how many streams were added.
        """
        known = len(self)
        for origin in origins:
            stream = StreamId(service, origin.request_id)
            if is_storable(origin):
                self._put(stream, _Kept(origin, now + origin.left_ms), now)
            else:
                self._drop(stream)
        return max(len(self) - known, 0)

    def restore(
        self, number: int, fields: Any, now: float
    ) -> list[tuple[str, StreamOrigin]]:
        """Add what an object was found to hold.

        :returns: the origins that were not known, by service.
        """
        found = []
        for stream, origin in islice(_parse(fields), MAX_BUCKET_ORIGINS):
            if origin is None:
                self.left_out += 1
            elif self._restore(number, stream, _Kept(origin, now + HISTORY_MS)):
                found.append((stream.service, origin))
        return found

    def continue_at(self, number: int) -> None:
        """Fill this object next."""
        self._current = number

    def mark_due(self, number: int) -> None:
        """Write an object again, after the others that are due."""
        self._due.pop(number, None)
        self._due[number] = None

    def mark_all_due(self) -> None:
        """Write all objects again that hold anything."""
        for number, bucket in enumerate(self._buckets):
            if bucket.origins:
                self.mark_due(number)

    def pop_due(self, now: float) -> tuple[int, Stored] | None:
        """Return the next object to write, and what it is to hold."""
        if not self._due:
            return None
        number = next(iter(self._due))
        self._due.pop(number)
        self._drop_expired(number, now)
        written: Stored = {}
        for stream, kept in self._buckets[number].origins.items():
            origin = kept.origin
            written.setdefault(stream.service, {})[stream.request_id] = [
                origin.team,
                origin.upstream,
                origin.version,
                origin.attempt,
            ]
        return number, written

    def _find(self, stream: StreamId) -> _Kept | None:
        number = self._numbers.get(stream)
        return None if number is None else self._buckets[number].origins[stream]

    def _restore(self, number: int, stream: StreamId, kept: _Kept) -> bool:
        """Add an origin; return whether it says something new."""
        known = self._find(stream)
        if known is None:
            self._insert(number, stream, kept)
            return True
        if self._numbers[stream] != number:
            # Only one object may tell of it, to change or to remove it.
            self.mark_due(number)
        if known.identity == kept.identity:
            return False
        # Neither is the later one, so the version is in doubt.
        kept.origin.attempt = known.origin.attempt
        return True

    def _put(self, stream: StreamId, kept: _Kept, now: float) -> None:
        if not _is_sound(stream, kept.origin):
            return
        known = self._find(stream)
        number = self._numbers.get(stream)
        if number is None:
            number = self._number_with_room(now)
        self._insert(number, stream, kept)
        if known is None or known.identity != kept.identity:
            self.mark_due(number)

    def _insert(self, number: int, stream: StreamId, kept: _Kept) -> None:
        self._buckets[number].put(stream, kept)
        self._numbers[stream] = number

    def _drop(self, stream: StreamId) -> None:
        number = self._numbers.pop(stream, None)
        if number is not None:
            self._buckets[number].pop(stream)
            self.mark_due(number)

    def _number_with_room(self, now: float) -> int:
        if self._buckets[self._current].is_full():
            self._drop_expired(self._current, now)
        if self._buckets[self._current].is_full():
            self._current = (self._current + 1) % BUCKETS
            self._drop_expired(self._current, now)
        if self._buckets[self._current].is_full():
            for stream in tuple(self._buckets[self._current].origins):
                self._forget(self._current, stream)
        return self._current

    def _drop_expired(self, number: int, now: float) -> None:
        for stream in self._buckets[number].expired(now):
            self._forget(number, stream)

    def _forget(self, number: int, stream: StreamId) -> None:
        self._buckets[number].pop(stream)
        self._numbers.pop(stream)


def _characters(stream: StreamId, origin: StreamOrigin) -> int:
    texts = (*stream, origin.team, origin.upstream, origin.version)
    return sum(map(len, texts)) + EXTRA_CHARACTERS


def _parse(fields: Any) -> Iterator[tuple[StreamId, StreamOrigin | None]]:
    """Read what an object holds; `None`: what is not an origin."""
    for service, streams in _pairs(fields):
        for request_id, entry in _pairs(streams):
            stream = StreamId(service, request_id)
            origin = _parse_origin(request_id, entry)
            if origin and not _is_sound(stream, origin):
                origin = None
            yield stream, origin


def _pairs(fields: Any) -> Iterable[tuple[str, Any]]:
    if not isinstance(fields, Mapping):
        return ()
    return islice(fields.items(), MAX_BUCKET_ORIGINS)


def _is_sound(stream: StreamId, origin: StreamOrigin) -> bool:
    """Return whether an origin can be passed on to other instances."""
    texts = (*stream, origin.team, origin.upstream, origin.version)
    return (
        all(map(str.isprintable, texts))
        and _characters(stream, origin) <= MAX_ORIGIN_CHARACTERS
        and 0 <= origin.attempt <= MAX_ATTEMPT
    )


def _parse_origin(request_id: str, entry: Any) -> StreamOrigin | None:
    if not isinstance(entry, list) or len(entry) != len(_ENTRY_TYPES):
        return None
    if not all(map(isinstance, entry, _ENTRY_TYPES)):
        return None
    team, engine, version, attempt = entry
    return StreamOrigin(
        request_id=request_id,
        team=team,
        upstream=engine,
        attempt=attempt,
        # How long ago it was written is not known.
        left_ms=int(HISTORY_MS),
        version=version,
        is_begun=True,
        # Only such origins are written.
        is_certain=True,
    )
