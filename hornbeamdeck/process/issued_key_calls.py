"""Records of the calls that ran with issued keys, stored in memory.

A record is never removed before its key expires, because the call could then
run a second time. When the maximum number of records is reached, new calls are
refused instead.
"""

import time
from collections import OrderedDict
from http import HTTPStatus
from typing import Final, NamedTuple

from result import Err, Ok, Result

from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.request.execution_right import Once, Recorded, in_progress
from hornbeamdeck.request.issued_key import IssuedKey
from hornbeamdeck.request.outcome import Failure, NotRun, Unknown
from hornbeamdeck.request.refusal import unprocessable

__all__ = ('IssuedKeyCalls',)

MAX_CALLS: Final = 20_000
MAX_STORED_BODY_BYTES: Final = 32_768
RETRY_FULL_MS: Final = 5000


class _CallRecord(NamedTuple):
    fingerprint: str
    expires_s: int
    response: HttpResponse | None


class IssuedKeyCalls:
    """Call records by nonce, in the order in which the calls began."""

    def __init__(self) -> None:
        """Start without records."""
        self._records: OrderedDict[str, _CallRecord] = OrderedDict()

    def claim_call(
        self,
        key: IssuedKey,
        fingerprint: str,
    ) -> Result[Once | Recorded, Failure]:
        """Claim the right to run a call, or return its recorded response."""
        now_s = int(time.time())
        if key.expires_s <= now_s:
            return Err(_key_expired())
        record = self._records.get(key.nonce)
        if record is not None:
            return _repeated_call(record, fingerprint)
        self._remove_expired(now_s)
        if len(self._records) >= MAX_CALLS:
            return Err(_too_many_calls())
        self._records[key.nonce] = _CallRecord(fingerprint, key.expires_s, None)
        return Ok(self._make_claim(key.nonce))

    def _make_claim(self, nonce: str) -> Once:
        async def _async_record(response: HttpResponse) -> None:
            stored = response
            if len(response.body) > MAX_STORED_BODY_BYTES:
                stored = response._replace(body=b'')
            self._records[nonce] = self._records[nonce]._replace(
                response=stored
            )

        async def _async_release() -> None:
            self._records.pop(nonce, None)

        return Once(_async_record, _async_release)

    def _remove_expired(self, now_s: int) -> None:
        # All keys have the same lifetime, so records expire approximately in
        # the order in which the calls began.
        while self._records:
            nonce, oldest = next(iter(self._records.items()))
            if oldest.expires_s > now_s:
                return
            self._records.pop(nonce)


def _repeated_call(
    record: _CallRecord,
    fingerprint: str,
) -> Result[Once | Recorded, Failure]:
    if record.fingerprint != fingerprint:
        return Err(unprocessable('the key was used for another call'))
    if record.response is None:
        return Err(in_progress())
    return Ok(Recorded(record.response))


def _key_expired() -> Unknown:
    return Unknown(
        HTTPStatus.GONE,
        'key_expired',
        'the key has expired; whether its call ran is no longer known',
    )


def _too_many_calls() -> NotRun:
    return NotRun(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'too_many_calls',
        'no room to keep another outcome',
        RETRY_FULL_MS,
    )
