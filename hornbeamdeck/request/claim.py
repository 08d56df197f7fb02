"""The claim of a call that may run once only.

Before such a call is queued, an object for its idempotency key is created in
the platform on the condition that there is none. Whoever created it runs the
call; everyone else, at any instance, finds it and gets the first's outcome.
"""

import base64
from functools import partial
from typing import Final, NamedTuple

import structlog
from curio import sleep
from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.connection.platform import (
    PlatformClient,
    PlatformDown,
    StoredObject,
)
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.process.background import Background
from hornbeamdeck.process.backoff import backoff_s
from hornbeamdeck.request.claim_record import (
    STATE_DONE,
    ClaimCall,
    ClaimRecord,
)
from hornbeamdeck.request.once import Once, Recorded, in_progress
from hornbeamdeck.request.outcome import Failure
from hornbeamdeck.request.refusal import platform_down, unprocessable

__all__ = ('Claim', 'Claims')

_LOGGER = structlog.get_logger(prefix='claims')

ROLE: Final = 'claims'
MAX_RECORDED_BYTES: Final = 262_144
SETTLE_MS: Final = 60_000


class Claim(NamedTuple):
    """The right of this process to run a call.

    :param version: the platform's version of the claim object.
    """

    object_key: str
    record: ClaimRecord
    version: int


class Claims:
    """Makes, settles and releases claims."""

    def __init__(
        self,
        platform: PlatformClient,
        background: Background,
    ) -> None:
        """Take the platform and a keeper for what outlives a request."""
        self._platform = platform
        self._background = background

    async def async_claim(
        self,
        call: ClaimCall,
    ) -> Result[Once | Recorded, Failure]:
        """Claim a call, or find who has claimed it before."""
        record = ClaimRecord.from_call(call)
        claimed: Result[Claim | Recorded, Failure] | None = None
        try:
            claimed = await self._async_create(call, record)
        finally:
            # Also where the caller leaves meanwhile: a claim that was made, or
            # is still on its way, would answer `in_progress` to every resend.
            if claimed is None:
                await self._async_give_up(call.object_key, record.nonce)
        if claimed is None:
            return Err(platform_down())
        return claimed.map(self._to_once)

    def _to_once(self, claimed: Claim | Recorded) -> Once | Recorded:
        if isinstance(claimed, Recorded):
            return claimed
        return Once(
            record=partial(self._async_record, claimed),
            release=partial(self._async_release, claimed),
        )

    async def _async_record(
        self,
        claim: Claim,
        response: HttpResponse,
    ) -> None:
        if len(response.body) > MAX_RECORDED_BYTES:
            return
        record = claim.record._replace(
            state=STATE_DONE,
            status=response.status,
            content_type=response.headers.get('content-type', ''),
            body_base64=base64.b64encode(response.body).decode('ascii'),
        )
        await self._background.async_spawn(
            self._async_settle_record(claim, record.to_text()),
        )

    async def _async_release(self, claim: Claim) -> None:
        await self._async_give_up(claim.object_key, claim.record.nonce)

    async def _async_give_up(self, object_key: str, nonce: str) -> None:
        await self._background.async_spawn(
            self._async_settle_release(object_key, nonce),
        )

    async def _async_create(
        self,
        call: ClaimCall,
        record: ClaimRecord,
    ) -> Result[Claim | Recorded, Failure] | None:
        """Create the claim object, or find whose it is; `None`: can't tell."""
        waits = backoff_s()
        try_again = True
        while try_again:
            written = await self._platform.async_put(
                call.object_key,
                record.to_text(),
                expected=None,
                role=ROLE,
                timeout_ms=call.left_ms,
            )
            if isinstance(written, Ok):
                return Ok(Claim(call.object_key, record, written.ok_value))
            if not isinstance(written.err_value, PlatformDown):
                found = await self._async_find(call.object_key, record)
                if found is not None:
                    return found
            # The answer may be lost though the write took effect. The same
            # create again is safe: it then conflicts with this very nonce.
            wait_s = next(waits)
            try_again = wait_s * MILLIS_PER_SECOND < call.left_ms
            await sleep(wait_s if try_again else 0)
        return None

    async def _async_find(
        self,
        object_key: str,
        record: ClaimRecord,
    ) -> Result[Claim | Recorded, Failure] | None:
        got = await self._platform.async_get(object_key, role=ROLE)
        if isinstance(got, Err) or got.ok_value is None:
            return None
        stored = got.ok_value
        found = ClaimRecord.from_text(stored.body or '')
        if found.nonce == record.nonce:
            return Ok(Claim(object_key, record, stored.version))
        return _repeated(found, record)

    async def _async_settle_record(self, claim: Claim, text: str) -> None:
        waits = backoff_s()
        until_ms = now_ms() + SETTLE_MS
        while now_ms() < until_ms:
            written = await self._platform.async_put(
                claim.object_key,
                text,
                expected=claim.version,
                role=ROLE,
            )
            if not isinstance(written, Err):
                return
            if not isinstance(written.err_value, PlatformDown):
                # An earlier try took effect and its answer was lost.
                return
            await sleep(next(waits))
        _LOGGER.warning('outcome not recorded', claim=claim.object_key)

    async def _async_settle_release(self, object_key: str, nonce: str) -> None:
        # An own create whose answer was lost may still be on its way, so an
        # absent object is looked at again before this ends. Were the claim
        # left, a caller told "not run" could never run its call at all.
        waits = backoff_s()
        until_ms = now_ms() + SETTLE_MS
        absent = 0
        while now_ms() < until_ms and absent < 3:
            got = await self._platform.async_get(object_key, role=ROLE)
            if not isinstance(got, Err):
                if got.ok_value is None:
                    absent += 1
                elif not await self._async_delete_own(got.ok_value, nonce):
                    return
            await sleep(next(waits))

    async def _async_delete_own(
        self,
        stored: StoredObject,
        nonce: str,
    ) -> bool:
        if ClaimRecord.from_text(stored.body or '').nonce != nonce:
            return False
        deleted = await self._platform.async_delete(
            stored.key,
            expected=stored.version,
            role=ROLE,
        )
        return isinstance(deleted, Err)


def _repeated(
    found: ClaimRecord,
    record: ClaimRecord,
) -> Result[Claim | Recorded, Failure]:
    if found.fingerprint != record.fingerprint:
        return Err(unprocessable('the key was used for another call'))
    if found.state == STATE_DONE:
        headers = {'idempotency-replayed': 'true'}
        if found.content_type:
            headers['content-type'] = found.content_type
        body = base64.b64decode(found.body_base64)
        return Ok(Recorded(HttpResponse(found.status, headers, body)))
    return Err(in_progress())
