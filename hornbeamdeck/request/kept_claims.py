"""Claims that this process writes again when the store may have lost them.

A store that is restored from an older copy lacks the newest claims. A call that
is sent again would run a second time, so each process keeps its own claims for
longer than a copy is old, and writes them again in the next era.
"""

from collections import OrderedDict
from typing import Final, NamedTuple

import structlog
from curio import sleep
from result import Err, Ok

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.store_client import PlatformClient
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.process.backoff import backoff_s
from hornbeamdeck.request.claim_record import STATE_DONE, ClaimRecord

__all__ = ('KeptClaims',)

_LOGGER = structlog.get_logger(prefix='claims')

ROLE: Final = 'claims'
# Copies are some seconds old.
RETENTION_MS: Final = 60_000
MAX_CLAIMS: Final = 10_000
CHECK_INTERVAL_MS: Final = 200
# How long a new era admits no new claims. Every process calls the store at
# least every two seconds, and then writes its claims again.
HOLD_MS: Final = 4000


class _Kept(NamedTuple):
    record: ClaimRecord
    kept_ms: float


class KeptClaims:
    """The newest claims of this process, and when new ones are admitted."""

    def __init__(self, platform: PlatformClient) -> None:
        """Start without claims.

        :param platform: client of the store.
        """
        self._platform = platform
        self._era = platform.era
        self._held_until_ms = 0.0
        self._claims: OrderedDict[str, _Kept] = OrderedDict()

    def keep(self, object_key: str, record: ClaimRecord) -> None:
        """Keep a claim that the store has acknowledged, or its outcome."""
        now = now_ms()
        self._claims[object_key] = _Kept(record, now)
        self._claims.move_to_end(object_key)
        while self._claims and (
            len(self._claims) > MAX_CLAIMS
            or now - next(iter(self._claims.values())).kept_ms > RETENTION_MS
        ):
            self._claims.popitem(last=False)

    def drop(self, object_key: str, nonce: str) -> None:
        """Forget a claim that is given back."""
        kept = self._claims.get(object_key)
        if kept is not None and kept.record.nonce == nonce:
            self._claims.pop(object_key)

    def are_admitted(self) -> bool:
        """Return whether the store can hold no lost claim of the same key."""
        self._note_era()
        return now_ms() >= self._held_until_ms

    async def async_run(self) -> None:
        """Write the claims again in each era; never returns."""
        written_era = self._era
        while True:
            await sleep(CHECK_INTERVAL_MS / MILLIS_PER_SECOND)
            self._note_era()
            if self._era > written_era:
                written_era = self._era
                for object_key in tuple(self._claims):
                    await self.async_write_again(object_key)

    async def async_write_again(self, object_key: str) -> None:
        """Write one claim as it is known here, unless the store has it."""
        until_ms = now_ms() + HOLD_MS
        for delay_s in backoff_s():
            kept = self._claims.get(object_key)
            if kept is None or await self._async_has_written(
                object_key, kept.record
            ):
                return
            if now_ms() > until_ms:
                _LOGGER.error('claim not written again', claim=object_key)
                return
            await sleep(delay_s)

    def _note_era(self) -> None:
        if self._platform.era > self._era:
            is_restored = self._era > 0
            self._era = self._platform.era
            if is_restored:
                self._held_until_ms = now_ms() + HOLD_MS

    async def _async_has_written(
        self, object_key: str, record: ClaimRecord
    ) -> bool:
        found = await self._platform.async_get(object_key, role=ROLE)
        if isinstance(found, Err):
            return False
        stored = found.ok_value
        if stored is not None:
            listed = ClaimRecord.from_text(stored.body or '')
            if listed.nonce != record.nonce:
                # Made in the moment before its maker knew of the new era.
                return False
            if listed == record or listed.state == STATE_DONE:
                return True
        written = await self._platform.async_put(
            object_key,
            record.to_text(),
            expected=None if stored is None else stored.version,
            role=ROLE,
        )
        return isinstance(written, Ok)
