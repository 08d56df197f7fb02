"""Idempotency keys that the system issues, each bound to one process.

A caller's own key needs a claim in the platform. An issued key needs none: it
names the one incarnation of an instance that may ever dispatch it, so that
incarnation's memory is record enough, and bookings go on while the platform is
down. Once the incarnation is gone nobody runs the key.
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

__all__ = ('IssuedKey', 'is_issued', 'issue_key', 'read_key')

MARK: Final = 'hbk1.'
LIFETIME_S: Final = 3600
NONCE_BYTES: Final = 12
PURPOSE: Final = b'hornbeamdeck idempotency key'


class IssuedKey(NamedTuple):
    """What a key says.

    :param expires_s: wall clock; the record is kept until then.
    """

    instance_id: str
    incarnation: str
    team: str
    expires_s: int
    nonce: str


def is_issued(text: str) -> bool:
    """Tell an issued key from a caller's own."""
    return text.startswith(MARK)


def issue_key(
    *,
    instance_id: str,
    incarnation: str,
    team: str,
    secret: str,
) -> str:
    """Make a key bound to this incarnation and to the team that asks."""
    key = IssuedKey(
        instance_id=instance_id,
        incarnation=incarnation,
        team=team,
        expires_s=int(time.time()) + LIFETIME_S,
        nonce=secrets.token_hex(NONCE_BYTES),
    )
    body = base64.urlsafe_b64encode(json.dumps(key).encode(ENCODING))
    return f'{MARK}{body.decode(ENCODING)}.{_mac(body, secret)}'


def read_key(text: str, *, team: str, secret: str) -> Result[IssuedKey, NotRun]:
    """Check a key's signature and team.

    Unsigned, a caller could name an incarnation that never was and have a
    booking refused for ever, or name another team's.
    """
    body, _, mac = text.removeprefix(MARK).rpartition('.')
    expected = _mac(body.encode(ENCODING), secret)
    if not hmac.compare_digest(expected.encode(ENCODING), mac.encode(ENCODING)):
        return Err(_not_ours())
    try:
        key = IssuedKey(*json.loads(base64.urlsafe_b64decode(body)))
    except (ValueError, TypeError, binascii.Error):
        return Err(_not_ours())
    if key.team != team:
        return Err(_not_ours())
    return Ok(key)


def _mac(body: bytes, secret: str) -> str:
    # The purpose keeps this use of the secret apart from the peers' handshake.
    digest = hmac.new(secret.encode(ENCODING), digestmod=hashlib.sha256)
    digest.update(PURPOSE)
    digest.update(body)
    return digest.hexdigest()


def _not_ours() -> NotRun:
    return bad_request(
        'the key looks issued but was not issued to this team',
        'wrong_issued_key',
    )
