"""What a claim object holds, and under which key."""

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
    """A call that is to run once.

    :param object_key: the claim object's key in the platform.
    :param fingerprint: digest of the call, the same when it is sent again.
    :param deadline_ms: until when to try, on this process's clock.
    """

    object_key: str
    fingerprint: str
    deadline_ms: float

    @property
    def left_ms(self) -> int:
        """Time left until the deadline, at least 0, milliseconds."""
        return max(int(self.deadline_ms - now_ms()), 0)


class ClaimRecord(NamedTuple):
    """What the claim object holds.

    :param nonce: tells this process's create from any other's.
    :param fingerprint: digest of the call, to find a key used twice.
    :param created_s: wall clock, for the retention.
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
        """Begin the record of a call, with a nonce of its own."""
        return cls(
            nonce=uuid.uuid4().hex,
            fingerprint=call.fingerprint,
            state=STATE_CLAIMED,
            created_s=int(time.time()),
        )

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Parse the object's body."""
        return cls(**json.loads(text))

    def to_text(self) -> str:
        """Write the object's body."""
        return json.dumps(self._asdict())


def claim_key(service: str, team: str, idempotency_key: str) -> str:
    """Name the object of an idempotency key, apart for each team."""
    digest = hashlib.sha256(idempotency_key.encode(ENCODING)).hexdigest()
    return f'{PREFIX_CLAIM}{service}/{team}/{digest}'
