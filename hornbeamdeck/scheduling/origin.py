"""How one stream began, as one process knows it."""

import math
from typing import Final, NamedTuple, Self, TypeAlias

from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.incarnations import ENTRY_EXPIRY_MS
from hornbeamdeck.scheduling.version_history import HISTORY_MS
from hornbeamdeck.wire import Enqueue, Progress, StreamOrigin

__all__ = ('OWN_GRANT', 'GrantedIncarnation', 'Origin')

# Source of an origin that was granted here.
OWN_GRANT: Final = ''
# Age that the latest confirmation of the owner's list may have: it counts from
# the request, which a watch answers half a second later, twice in a row.
MAX_CONFIRMATION_AGE_MS: Final = 1000.0
# The list shows within this time after the first event which incarnation ran,
# while the store is there.
LISTED_EVIDENCE_MS: Final = ENTRY_EXPIRY_MS + MAX_CONFIRMATION_AGE_MS
# An engine states within this time which incarnation it runs, also if another
# question to it has to end first.
STATEMENT_MS: Final = 700.0
# A request waits no longer than this for evidence of its stream.
LEARN_INCARNATION_MS: Final = 2500.0
# Evidence of the list that is not there after this time is not expected.
SETTLE_MS: Final = 2 * ENTRY_EXPIRY_MS

_Progress: TypeAlias = tuple[bool, int]


class GrantedIncarnation(NamedTuple):
    """The engine of a grant, as the owner that granted it knew it."""

    engine: str
    version: str | None
    born_ms: int | None

    @classmethod
    def from_progress(cls, message: Progress) -> Self | None:
        """Read from a message; `None`: its sender names no engine."""
        if message.upstream is None:
            return None
        return cls(message.upstream, message.version, message.born_ms)


class Origin(NamedTuple):
    """How a stream began.

    :param attempt: number of engines that were named to its request before.
    :param is_begun: whether the engine has made the first event. Until then,
        another engine may still begin the stream.
    :param version: of the entry that the grant was based on; `None`: owners
        differ, or the engine has stated that it runs another incarnation.
    :param born_ms: start of the incarnation in that entry; `None`: the list
        can't show any more whether it ran the stream.
    :param source: the instance that reported it, or `OWN_GRANT`.
    :param begun_ms: a time after the first event; `None`: not known.
    :param is_certain: whether an engine of that version ran the stream. The
        entry may have described an earlier incarnation.
    :param is_granted_elsewhere: whether another owner has named the engine, by
        an entry that is not known here.
    :param sequence: increases with each change of any origin.
    """

    team: str
    engine: str
    attempt: int
    is_begun: bool
    version: str | None
    born_ms: int | None
    expires_ms: float
    source: str = OWN_GRANT
    begun_ms: float | None = None
    is_certain: bool = False
    is_granted_elsewhere: bool = False
    sequence: int = 0

    @classmethod
    def from_grant(cls, request: Enqueue, engine: Engine, now: float) -> Self:
        """Create the origin of a request that is granted here.

        A request that is bound to a version goes on with a stream that is
        certain to be of that version.
        """
        is_begun = request.version is not None
        return cls(
            team=request.team,
            engine=engine.name,
            attempt=len(request.excluded or ()),
            is_begun=is_begun,
            version=engine.version,
            born_ms=engine.born_ms,
            expires_ms=now + min(float(request.resumable_ms), HISTORY_MS),
            begun_ms=now if is_begun else None,
            is_certain=is_begun,
        )

    @classmethod
    def from_wire(cls, reported: StreamOrigin, source: str, now: float) -> Self:
        """Create an origin from a report."""
        age_ms = reported.begun_age_ms
        return cls(
            team=reported.team,
            engine=reported.upstream,
            attempt=reported.attempt,
            is_begun=bool(reported.is_begun),
            version=reported.version,
            born_ms=reported.born_ms,
            expires_ms=now + min(reported.left_ms, HISTORY_MS),
            source=source,
            begun_ms=None if age_ms is None else now - age_ms,
            is_certain=bool(
                reported.is_certain
                and reported.is_begun
                and reported.version is not None
            ),
        )

    def to_wire(
        self, request_id: str, now: float, *, is_certain: bool
    ) -> StreamOrigin:
        """Build a report."""
        begun_ms = self.begun_ms
        return StreamOrigin(
            request_id=request_id,
            team=self.team,
            upstream=self.engine,
            attempt=self.attempt,
            left_ms=int(self.expires_ms - now),
            version=self.version,
            is_begun=self.is_begun,
            born_ms=self.born_ms,
            begun_age_ms=None if begun_ms is None else int(now - begun_ms),
            is_certain=is_certain,
        )

    @property
    def progress(self) -> _Progress:
        """How far the stream has come; the furthest report counts."""
        return (self.is_begun, self.attempt)

    @property
    def is_in_doubt(self) -> bool:
        """Whether the list can't show any more which version it is of."""
        has_evidence = self.is_certain or self.born_ms is not None
        return self.version is None or not has_evidence

    def learnable_until_ms(self, listed: Engine | None, now: float) -> float:
        """Return until when a request may wait for evidence of the stream.

        While its engine is listed, this process can ask it, and the list may
        show that it goes on to be listed. The instance that relays the stream
        asks at the first event.

        :param listed: the engine as it is listed now; `None`: it is not.
        :returns: minus infinity if no evidence is expected.
        """
        if self.is_in_doubt or self.begun_ms is None:
            return -math.inf
        if listed is None or not self.can_be_confirmed_by(listed):
            return self.begun_ms + STATEMENT_MS
        listed_ms = self.begun_ms + LISTED_EVIDENCE_MS
        if listed_ms > now + LEARN_INCARNATION_MS:
            return now + STATEMENT_MS
        return max(listed_ms, now + STATEMENT_MS)

    def can_be_resumed(self, request: Enqueue, now: float) -> bool:
        """Return whether it is what a request goes on with."""
        return (
            self.is_begun
            and self.team == request.team
            and self.expires_ms >= now
        )

    def is_settled(self, now: float) -> bool:
        """Return whether the list will show nothing more of it."""
        if self.is_certain or self.is_in_doubt or self.begun_ms is None:
            return True
        return self.begun_ms < now - SETTLE_MS

    def is_unlike(self, listed: Engine | None) -> bool:
        """Return whether its evidence is not for an entry of its engine."""
        if listed is None or self.is_in_doubt or self.is_certain:
            return False
        return (self.born_ms, self.version) != (listed.born_ms, listed.version)

    def can_be_confirmed_by(self, listed: Engine) -> bool:
        """Return whether an engine can state that it has run the stream."""
        return not (
            self.is_certain or self.is_in_doubt or self.is_unlike(listed)
        )

    def begun_by_grant(self, granted: GrantedIncarnation, now: float) -> Self:
        """Return the origin once the engine of a grant made the first event.

        Another owner may have granted another incarnation than this one.
        """
        begun = self._replace(is_begun=True, begun_ms=now)
        if self.engine == granted.engine and self.is_in_doubt:
            return begun
        return begun._replace(**granted._asdict())

    def begun_at(self, engine: Engine, now: float) -> Self:
        """Return the origin once an engine has made the first event."""
        begun = self._replace(is_begun=True, begun_ms=now)
        if self.engine == engine.name:
            return begun
        return begun._replace(
            engine=engine.name,
            version=engine.version,
            born_ms=engine.born_ms,
            is_granted_elsewhere=True,
        )

    def as_certain(self) -> Self:
        """Return the origin once it is known which incarnation ran."""
        if self.version is None or not self.is_begun:
            return self
        return self._replace(is_certain=True, source=OWN_GRANT)

    def as_refuted(self) -> Self:
        """Return the origin once its engine has stated another start."""
        if self.is_certain or not self.is_begun:
            return self
        return self._replace(version=None, source=OWN_GRANT)

    def merged(self, reported: Self) -> Self:
        """Return what is known after a report.

        If two owners have granted the same attempt to different versions, it
        is not certain which one ran.
        """
        is_rival = self.progress == reported.progress or (
            self.is_begun and reported.is_begun
        )
        if is_rival and self.version is None:
            return self
        if is_rival and self.version != reported.version:
            # The reporter has to be told of the difference, too.
            return self._replace(
                version=None, is_certain=False, source=OWN_GRANT
            )
        if self.progress == reported.progress:
            return self._with_evidence(reported)
        if self.progress > reported.progress:
            return self
        return reported.as_certain() if self.is_certain else reported

    def _with_evidence(self, reported: Self) -> Self:
        """Return the origin after a report of the same version."""
        if self.is_certain:
            return self
        if reported.is_certain:
            return reported
        if (self.engine, self.born_ms) != (reported.engine, reported.born_ms):
            # Either may have run, so evidence for one of them is not enough.
            return self._replace(born_ms=None)
        return self
