"""A lease in the platform: at most one live holder, and a fencing token.

The platform knows no time to live, so expiry is judged by watching: whoever
sees the lease object unchanged for its whole duration may replace it, on the
condition that it is unchanged still. The holder counts its own deadline from
before it sent its last renewal, so it stops before anybody can take over. A
process that is frozen past its deadline can't stop; for that, orders carry the
fencing token, and what takes orders refuses a lower one. (The order of these
deadlines, and that no check replaces the token, follow the DLeader.Consul
documentation, version 2.0.1.)
"""

import json
import uuid
from collections.abc import Callable
from typing import Final, NamedTuple, Self

from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.platform import (
    PlatformClient,
    PlatformDown,
    StoredObject,
)

__all__ = ('Lease', 'LeaseTerms')

ROLE: Final = 'lease'


class LeaseTerms(NamedTuple):
    """How long a lease lasts.

    :param duration_ms: how long others wait for a renewal.
    :param margin_ms: how much earlier its holder stops, for clocks that run
        at different rates.
    """

    duration_ms: int = 10_000
    margin_ms: int = 1000


class _Record(NamedTuple):
    holder: str
    nonce: str
    duration_ms: int

    @classmethod
    def from_stored(cls, stored: StoredObject) -> Self:
        return cls(**json.loads(stored.body or '{}'))


class _Seen(NamedTuple):
    version: int
    since_ms: float


class Lease:
    """One contender's view of a lease."""

    def __init__(
        self,
        platform: PlatformClient,
        key: str,
        holder: str,
        *,
        terms: LeaseTerms,
        clock_ms: Callable[[], float] = now_ms,
    ) -> None:
        """Hold nothing yet.

        :param clock_ms: a monotonic clock, milliseconds.
        """
        self._platform = platform
        self._key = key
        self._terms = terms
        self._clock_ms = clock_ms
        self._record = _Record(holder, uuid.uuid4().hex, terms.duration_ms)
        self._seen: _Seen | None = None
        self._version = 0
        self._token = 0
        self._until_ms = 0.0

    @property
    def is_held(self) -> bool:
        """Whether this contender may act now; ask right before each order."""
        return self._clock_ms() < self._until_ms

    @property
    def fencing_token(self) -> int:
        """The platform's version at acquisition: higher in each later term."""
        return self._token

    async def async_try(self) -> Result[bool, PlatformDown]:
        """Renew if held, else acquire if free or expired.

        :returns: whether it is held now. After an error the lease may be held
            all the same, until its deadline.
        """
        got = await self._platform.async_get(self._key, role=ROLE)
        if isinstance(got, Err):
            return got
        stored = got.ok_value
        if stored is None:
            return await self._async_write(expected=None, is_new_term=True)
        if self._is_own(stored):
            # Also an acquisition whose answer was lost: it took effect.
            is_new_term = not self.is_held
            return await self._async_write(
                expected=stored.version,
                is_new_term=is_new_term,
            )
        self._until_ms = 0
        if not self._is_expired(stored):
            return Ok(False)
        return await self._async_write(
            expected=stored.version,
            is_new_term=True,
        )

    async def async_release(self) -> None:
        """Give the lease up, so that the next need not wait for it."""
        if not self.is_held:
            return
        self._until_ms = 0
        # Not deleted: where versions begin anew for a new object, the next
        # holder's token would be lower than this one's.
        freed = self._record._replace(nonce='', duration_ms=0)
        await self._platform.async_put(
            self._key,
            json.dumps(freed._asdict()),
            expected=self._version,
            role=ROLE,
        )

    def _is_own(self, stored: StoredObject) -> bool:
        return _Record.from_stored(stored).nonce == self._record.nonce

    def _is_expired(self, stored: StoredObject) -> bool:
        if not _Record.from_stored(stored).duration_ms:
            return True
        now = self._clock_ms()
        if self._seen is None or self._seen.version != stored.version:
            self._seen = _Seen(stored.version, now)
            return False
        waited_ms = now - self._seen.since_ms
        return waited_ms >= _Record.from_stored(stored).duration_ms

    async def _async_write(
        self,
        *,
        expected: int | None,
        is_new_term: bool,
    ) -> Result[bool, PlatformDown]:
        before_ms = self._clock_ms()
        written = await self._platform.async_put(
            self._key,
            json.dumps(self._record._asdict()),
            expected=expected,
            role=ROLE,
        )
        if isinstance(written, Err):
            if isinstance(written.err_value, PlatformDown):
                return Err(written.err_value)
            self._until_ms = 0
            return Ok(False)
        self._version = written.ok_value
        if is_new_term:
            self._token = self._version
        lasting_ms = self._terms.duration_ms - self._terms.margin_ms
        self._until_ms = before_ms + lasting_ms
        return Ok(True)
