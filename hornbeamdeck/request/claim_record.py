"""Content and key of a claim object in the store."""

import hashlib
import json
import time
import uuid
from typing import Final, NamedTuple, Self

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import ENCODING, PREFIX_CLAIM

__all__ = (
    'STATE_CLAIMED',
    'STATE_DONE',
    'ClaimCall',
    'ClaimRecord',
    'claim_key',
)

STATE_CLAIMED: Final = 'claimed'
STATE_DONE: Final = 'done'


class ClaimCall(NamedTuple):
    """A non-idempotent call that needs a claim.

    :param object_key: the claim object's key in the store.
    :param fingerprint: digest of the call, which stays the same when it is
        resent.
    :param deadline_ms: when to stop trying to claim, on this process's clock.
    """

    object_key: str
    fingerprint: str
    deadline_ms: float

    @property
    def left_ms(self) -> int:
        """Time left until the deadline, at least 0, milliseconds."""
        return max(int(self.deadline_ms - now_ms()), 0)


class ClaimRecord(NamedTuple):
    """Content of a claim object.

    :param nonce: identifies the create request of this process.
    :param fingerprint: digest of the call, to detect a key that is used for
        another call.
    :param created_s: wall clock time of creation, for retention.
    """

    nonce: str
    fingerprint: str
    state: str
    created_s: int
    status: int = 0
    content_type: str = ''
    body_base64: str = ''

    @classmethod
    def from_call(cls, call: ClaimCall) -> Self:
        """Make the initial record of a call, with a new nonce."""
        return cls(
            nonce=uuid.uuid4().hex,
            fingerprint=call.fingerprint,
            state=STATE_CLAIMED,
            created_s=int(time.time()),
        )

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Parse the body of a claim object."""
        return cls(**json.loads(text))

    def to_text(self) -> str:
        """Serialize to the body of a claim object."""
        return json.dumps(self._asdict())


def claim_key(service: str, team: str, idempotency_key: str) -> str:
    """Make the object key of an idempotency key, separate for each team."""
    digest = hashlib.sha256(idempotency_key.encode(ENCODING)).hexdigest()
    return f'{PREFIX_CLAIM}{service}/{team}/{digest}'
