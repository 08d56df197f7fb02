"""Idempotency keys that the system issues, each bound to one process.

A key chosen by a caller needs a claim in the store. An issued key needs none:
it names the only incarnation of an instance that may ever run its call,
so a record in that incarnation's memory is sufficient and bookings continue
while the store is down. Once that incarnation has ended, no instance runs the
call.
"""

import base64
import binascii
import hashlib
import hmac
import json
import secrets
import time
from typing import Final, NamedTuple

from result import Err, Ok, Result

from hornbeamdeck.const import ENCODING
from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.request.refusal import bad_request

__all__ = ('IssuedKey', 'is_issued', 'issue_key', 'verify_issued_key')

KEY_PREFIX: Final = 'hbk1.'
LIFETIME_S: Final = 3600
NONCE_BYTES: Final = 12
MAC_PURPOSE: Final = b'hornbeamdeck idempotency key'


class IssuedKey(NamedTuple):
    """Fields of an issued key.

    :param expires_s: wall clock time until which the call's record is kept.
    """

    instance_id: str
    incarnation: str
    team: str
    expires_s: int
    nonce: str


def is_issued(text: str) -> bool:
    """Whether a key has the form of an issued key."""
    return text.startswith(KEY_PREFIX)


def issue_key(
    *,
    instance_id: str,
    incarnation: str,
    team: str,
    secret: str,
) -> str:
    """Make a key bound to this incarnation and to the requesting team."""
    key = IssuedKey(
        instance_id=instance_id,
        incarnation=incarnation,
        team=team,
        expires_s=int(time.time()) + LIFETIME_S,
        nonce=secrets.token_hex(NONCE_BYTES),
    )
    body = base64.urlsafe_b64encode(json.dumps(key).encode(ENCODING))
    return f'{KEY_PREFIX}{body.decode(ENCODING)}.{_mac(body, secret)}'


def verify_issued_key(
    text: str, *, team: str, secret: str
) -> Result[IssuedKey, NotRun]:
    """Check a key's signature and team.

    Without a signature, a caller could name an incarnation that never existed,
    so that a booking is refused forever, or could make a key of another team.
    """
    body, _, mac = text.removeprefix(KEY_PREFIX).rpartition('.')
    expected = _mac(body.encode(ENCODING), secret)
    if not hmac.compare_digest(expected.encode(ENCODING), mac.encode(ENCODING)):
        return Err(_wrong_issued_key())
    try:
        key = IssuedKey(*json.loads(base64.urlsafe_b64decode(body)))
    except (ValueError, TypeError, binascii.Error):
        return Err(_wrong_issued_key())
    if key.team != team:
        return Err(_wrong_issued_key())
    return Ok(key)


def _mac(body: bytes, secret: str) -> str:
    # The purpose separates this use of the secret from the handshake of peers.
    digest = hmac.new(secret.encode(ENCODING), digestmod=hashlib.sha256)
    digest.update(MAC_PURPOSE)
    digest.update(body)
    return digest.hexdigest()


def _wrong_issued_key() -> NotRun:
    return bad_request(
        'the key looks issued but was not issued to this team',
        'wrong_issued_key',
    )
