"""A lease in the store: at most one current holder, and a fencing token.

The store has no time to live for objects, so expiry is determined by
observation: a contender that sees the lease object unchanged for its whole
duration may replace it by a conditional write, which fails if the object has
changed meanwhile. The holder's deadline starts before it sends a renewal, so
the holder stops before another contender can take over. A process that is
suspended past its deadline can't stop in time. Therefore commands carry the
fencing token, and their receiver refuses commands with a lower token. (The
order of these deadlines, and the rule that no check replaces the token, follow
the DLeader.Consul documentation, version 2.0.1.)
"""

import json
import uuid
from collections.abc import Callable
from typing import Final, NamedTuple, Self

from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.store_client import (
    PlatformClient,
    StoredObject,
    StoreUnavailable,
)
from hornbeamdeck.connection.store_revision import StoreRevision

__all__ = ('Lease', 'LeaseTerms')

ROLE: Final = 'lease'


class LeaseTerms(NamedTuple):
    """Durations of a lease.

    :param duration_ms: how long other contenders wait for a renewal.
    :param margin_ms: how much earlier the holder stops, to allow for clocks
        that run at different rates.
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


class _Observed(NamedTuple):
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
        """Create a contender that does not hold the lease yet.

        :param clock_ms: a monotonic clock in milliseconds.
        """
        self._platform = platform
        self._key = key
        self._terms = terms
        self._clock_ms = clock_ms
        self._record = _Record(holder, uuid.uuid4().hex, terms.duration_ms)
        self._observed: _Observed | None = None
        self._version = 0
        self._token = 0
        self._held_until_ms = 0.0

    @property
    def is_held(self) -> bool:
        """Whether this contender holds the lease; check before each command.

        A store that was restored since may have lost the lease.
        """
        is_current = (
            StoreRevision.from_packed(self._version).era == self._platform.era
        )
        return is_current and self._clock_ms() < self._held_until_ms

    @property
    def fencing_token(self) -> int:
        """The object's version at acquisition; it increases with each term."""
        return self._token

    async def async_try(self) -> Result[bool, StoreUnavailable]:
        """Renew the lease if held, else acquire it if it is free or expired.

        :returns: whether the lease is held now. After an error it may still
            be held until its deadline.
        """
        response = await self._platform.async_get(self._key, role=ROLE)
        if isinstance(response, Err):
            return response
        stored = response.ok_value
        if stored is None:
            return await self._async_write(expected=None, is_new_term=True)
        if self._is_own(stored):
            # This includes an acquisition that took effect although its
            # response was lost.
            is_new_term = not self.is_held
            return await self._async_write(
                expected=stored.version,
                is_new_term=is_new_term,
            )
        self._held_until_ms = 0
        if not self._is_expired(stored):
            return Ok(False)
        return await self._async_write(
            expected=stored.version,
            is_new_term=True,
        )

    async def async_release(self) -> None:
        """Release the lease, so that others can acquire it immediately."""
        if not self.is_held:
            return
        self._held_until_ms = 0
        # The object is not deleted: if the store restarts version numbers for
        # a new object, the next holder's token would be lower than this one's.
        released = self._record._replace(nonce='', duration_ms=0)
        await self._platform.async_put(
            self._key,
            json.dumps(released._asdict()),
            expected=self._version,
            role=ROLE,
        )

    def _is_own(self, stored: StoredObject) -> bool:
        return _Record.from_stored(stored).nonce == self._record.nonce

    def _is_expired(self, stored: StoredObject) -> bool:
        if not _Record.from_stored(stored).duration_ms:
            return True
        now = self._clock_ms()
        if self._observed is None or self._observed.version != stored.version:
            self._observed = _Observed(stored.version, now)
            return False
        waited_ms = now - self._observed.since_ms
        return waited_ms >= _Record.from_stored(stored).duration_ms

    async def _async_write(
        self,
        *,
        expected: int | None,
        is_new_term: bool,
    ) -> Result[bool, StoreUnavailable]:
        sent_ms = self._clock_ms()
        written = await self._platform.async_put(
            self._key,
            json.dumps(self._record._asdict()),
            expected=expected,
            role=ROLE,
        )
        if isinstance(written, Err):
            if isinstance(written.err_value, StoreUnavailable):
                return Err(written.err_value)
            self._held_until_ms = 0
            return Ok(False)
        self._version = written.ok_value
        if is_new_term:
            self._token = self._version
        usable_ms = self._terms.duration_ms - self._terms.margin_ms
        self._held_until_ms = sent_ms + usable_ms
        return Ok(True)
