"""What a claim object holds, and under which key."""

import hashlib
import json
import time
import uuid
from typing import Final, NamedTuple, Self

from hornbeamdeck.const import ENCODING, PREFIX_CLAIM
from hornbeamdeck.request.admission import Admission

__all__ = ('STATE_CLAIMED', 'STATE_DONE', 'ClaimRecord', 'claim_key')

STATE_CLAIMED: Final = 'claimed'
STATE_DONE: Final = 'done'


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
    def from_admission(cls, admission: Admission) -> Self:
        """Begin the record of a call, with a nonce of its own."""
        return cls(
            nonce=uuid.uuid4().hex,
            fingerprint=admission.fingerprint,
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


def claim_key(admission: Admission, key: str) -> str:
    """Name the object of an idempotency key, apart for each team."""
    digest = hashlib.sha256(key.encode(ENCODING)).hexdigest()
    service = admission.service.name
    return f'{PREFIX_CLAIM}{service}/{admission.team.name}/{digest}'
