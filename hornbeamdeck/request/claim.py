"""Claims that give a non-idempotent call at-most-once execution.

Before such a call is queued, an object for its idempotency key is created in
the store, on the condition that none exists. The request that created it runs
the call. Every other request with that key, at any instance, finds the object
and gets the outcome of the first.
"""

import base64
from functools import partial
from typing import Final, NamedTuple

import structlog
from curio import sleep
from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.connection.store_client import (
    PlatformClient,
    StoredObject,
    StoreUnavailable,
)
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.process.background import Background
from hornbeamdeck.process.backoff import backoff_s
from hornbeamdeck.request.claim_record import (
    STATE_DONE,
    ClaimCall,
    ClaimRecord,
)
from hornbeamdeck.request.execution_right import Once, Recorded, in_progress
from hornbeamdeck.request.kept_claims import KeptClaims
from hornbeamdeck.request.outcome import Failure
from hornbeamdeck.request.refusal import platform_down, unprocessable

__all__ = ('Claim', 'Claims')

_LOGGER = structlog.get_logger(prefix='claims')

ROLE: Final = 'claims'
MAX_RECORDED_BYTES: Final = 262_144
STORE_RETRY_LIMIT_MS: Final = 60_000


class Claim(NamedTuple):
    """The right of this process to run a call.

    :param version: the store's version of the claim object.
    """

    object_key: str
    record: ClaimRecord
    version: int


class Claims:
    """Creates claims, records their outcomes and releases them."""

    def __init__(
        self,
        platform: PlatformClient,
        background: Background,
    ) -> None:
        """Initialize without claims.

        :param platform: client of the store.
        :param background: runs the tasks that outlive a request.
        """
        self._platform = platform
        self._background = background
        self._kept = KeptClaims(platform)

    async def async_keep_stored(self) -> None:
        """Write claims that the store may have lost again; never returns."""
        await self._kept.async_run()

    async def async_claim(
        self,
        call: ClaimCall,
    ) -> Result[Once | Recorded, Failure]:
        """Claim a call, or find the earlier claim of the same call."""
        if not self._kept.are_admitted():
            return Err(platform_down(call.fingerprint))
        record = ClaimRecord.from_call(call)
        claimed: Result[Claim | Recorded, Failure] | None = None
        try:
            claimed = await self._async_create(call, record)
            if not self._kept.are_admitted():
                # The first response that tells of a new era.
                claimed = None
        finally:
            # This also runs if the caller disconnects meanwhile. Otherwise a
            # claim that was created, or whose create is still in transit,
            # would make every resend of the call fail with `in_progress`.
            if claimed is None:
                await self._async_schedule_release(
                    call.object_key, record.nonce
                )
        if claimed is None:
            return Err(platform_down(call.fingerprint))
        return claimed.map(self._to_execution_right)

    def _to_execution_right(self, claimed: Claim | Recorded) -> Once | Recorded:
        if isinstance(claimed, Recorded):
            return claimed
        self._kept.keep(claimed.object_key, claimed.record)
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
        self._kept.keep(claim.object_key, record)
        await self._background.async_spawn(
            self._async_store_outcome(claim, record.to_text()),
        )

    async def _async_release(self, claim: Claim) -> None:
        await self._async_schedule_release(claim.object_key, claim.record.nonce)

    async def _async_schedule_release(
        self, object_key: str, nonce: str
    ) -> None:
        self._kept.drop(object_key, nonce)
        await self._background.async_spawn(
            self._async_delete_claim(object_key, nonce),
        )

    async def _async_create(
        self,
        call: ClaimCall,
        record: ClaimRecord,
    ) -> Result[Claim | Recorded, Failure] | None:
        """Create the claim object, or find the one that exists.

        :returns: `None` if neither could be established before the deadline.
        """
        delays = backoff_s()
        may_retry = True
        while may_retry:
            written = await self._platform.async_put(
                call.object_key,
                record.to_text(),
                expected=None,
                role=ROLE,
                timeout_ms=call.left_ms,
            )
            if isinstance(written, Ok):
                return Ok(Claim(call.object_key, record, written.ok_value))
            if not isinstance(written.err_value, StoreUnavailable):
                found = await self._async_find(call.object_key, record)
                if found is not None:
                    return found
            # The response may be lost although the write took effect. It is
            # safe to repeat the create: it then conflicts with an object that
            # holds this same nonce.
            delay_s = next(delays)
            may_retry = delay_s * MILLIS_PER_SECOND < call.left_ms
            await sleep(delay_s if may_retry else 0)
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
        return _earlier_result(found, record)

    async def _async_store_outcome(self, claim: Claim, text: str) -> None:
        delays = backoff_s()
        until_ms = now_ms() + STORE_RETRY_LIMIT_MS
        while now_ms() < until_ms:
            written = await self._platform.async_put(
                claim.object_key,
                text,
                expected=claim.version,
                role=ROLE,
            )
            if not isinstance(written, Err):
                return
            if not isinstance(written.err_value, StoreUnavailable):
                # An earlier attempt took effect and its response was lost, or
                # the store was restored and holds another version.
                await self._kept.async_write_again(claim.object_key)
                return
            await sleep(next(delays))
        _LOGGER.warning('outcome not recorded', claim=claim.object_key)

    async def _async_delete_claim(self, object_key: str, nonce: str) -> None:
        # A create of this process whose response was lost may still be in
        # transit, so an absent object is checked again before this ends. If
        # the claim remained, a caller that got the outcome "not run" could
        # never get its call to run.
        delays = backoff_s()
        until_ms = now_ms() + STORE_RETRY_LIMIT_MS
        absent_reads = 0
        while now_ms() < until_ms and absent_reads < 3:
            got = await self._platform.async_get(object_key, role=ROLE)
            if not isinstance(got, Err):
                if got.ok_value is None:
                    absent_reads += 1
                elif not await self._async_delete_if_own(got.ok_value, nonce):
                    return
            await sleep(next(delays))

    async def _async_delete_if_own(
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


def _earlier_result(
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
