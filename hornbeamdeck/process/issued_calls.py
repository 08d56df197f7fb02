"""The calls that ran here under issued keys, in this process's memory.

No record is dropped before its key expires, since the call could then run a
second time; when there is no room, new calls are refused instead.
"""

import time
from collections import OrderedDict
from http import HTTPStatus
from typing import Final, NamedTuple

from result import Err, Ok, Result

from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.request.issued_key import IssuedKey
from hornbeamdeck.request.once import Once, Recorded, in_progress
from hornbeamdeck.request.outcome import Failure, NotRun, Unknown
from hornbeamdeck.request.refusal import unprocessable

__all__ = ('IssuedCalls',)

MAX_CALLS: Final = 20_000
MAX_KEPT_BYTES: Final = 32_768
RETRY_FULL_MS: Final = 5000


class _Call(NamedTuple):
    fingerprint: str
    expires_s: int
    response: HttpResponse | None


class IssuedCalls:
    """Records by nonce, in the order in which they came."""

    def __init__(self) -> None:
        """Start without records."""
        self._calls: OrderedDict[str, _Call] = OrderedDict()

    def begin(
        self,
        key: IssuedKey,
        fingerprint: str,
    ) -> Result[Once | Recorded, Failure]:
        """Take the right to run a call, or find what became of it."""
        now_s = int(time.time())
        if key.expires_s <= now_s:
            return Err(_expired())
        found = self._calls.get(key.nonce)
        if found is not None:
            return _repeated(found, fingerprint)
        self._drop_expired(now_s)
        if len(self._calls) >= MAX_CALLS:
            return Err(_full())
        self._calls[key.nonce] = _Call(fingerprint, key.expires_s, None)
        return Ok(self._once(key.nonce))

    def _once(self, nonce: str) -> Once:
        async def _async_record(response: HttpResponse) -> None:
            kept = response
            if len(response.body) > MAX_KEPT_BYTES:
                kept = response._replace(body=b'')
            self._calls[nonce] = self._calls[nonce]._replace(response=kept)

        async def _async_release() -> None:
            self._calls.pop(nonce, None)

        return Once(_async_record, _async_release)

    def _drop_expired(self, now_s: int) -> None:
        # Keys live equally long, so those that came first expire about first.
        while self._calls:
            nonce, oldest = next(iter(self._calls.items()))
            if oldest.expires_s > now_s:
                return
            self._calls.pop(nonce)


def _repeated(
    found: _Call,
    fingerprint: str,
) -> Result[Once | Recorded, Failure]:
    if found.fingerprint != fingerprint:
        return Err(unprocessable('the key was used for another call'))
    if found.response is None:
        return Err(in_progress())
    return Ok(Recorded(found.response))


def _expired() -> Unknown:
    return Unknown(
        HTTPStatus.GONE,
        'key_expired',
        'the key has expired; whether its call ran is no longer known',
    )


def _full() -> NotRun:
    return NotRun(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'too_many_calls',
        'no room to keep another outcome',
        RETRY_FULL_MS,
    )
