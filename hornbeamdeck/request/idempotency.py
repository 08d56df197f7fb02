"""Gets the right to run a non-idempotent call: by claim or by issued key."""

from typing import Final, NamedTuple

from result import Err, Result

from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.const import HEADER_IDEMPOTENCY_KEY
from hornbeamdeck.membership.membership import Membership
from hornbeamdeck.process.issued_key_calls import IssuedKeyCalls
from hornbeamdeck.request.admission import Admission
from hornbeamdeck.request.claim import Claims
from hornbeamdeck.request.claim_record import ClaimCall, claim_key
from hornbeamdeck.request.execution_right import Once, Recorded
from hornbeamdeck.request.forward import (
    HEADER_FORWARDED,
    async_forward,
    issuer_gone,
)
from hornbeamdeck.request.issued_key import (
    IssuedKey,
    is_issued,
    issue_key,
    verify_issued_key,
)
from hornbeamdeck.request.outcome import Failure
from hornbeamdeck.request.refusal import bad_request

__all__ = (
    'IdempotencyContext',
    'async_acquire_execution_right',
    'issue_key_for_team',
)


MAX_KEY_CHARS: Final = 256


class IdempotencyContext(NamedTuple):
    """Dependencies for claims and issued keys, and this instance's identity."""

    claims: Claims
    issued_calls: IssuedKeyCalls
    membership: Membership
    secret: str


def issue_key_for_team(context: IdempotencyContext, team: str) -> str:
    """Issue a key whose call only this incarnation will run."""
    own = context.membership.own_status
    return issue_key(
        instance_id=own.instance_id,
        incarnation=own.incarnation,
        team=team,
        secret=context.secret,
    )


async def async_acquire_execution_right(
    context: IdempotencyContext,
    admission: Admission,
) -> Result[Once | Recorded | HttpResponse, Failure]:
    """Get the right to run a call, or the outcome of an earlier request.

    :returns: the right, a recorded outcome, or the response of the instance
        that issued the key.
    """
    key_text = admission.request.headers.get(HEADER_IDEMPOTENCY_KEY, '')
    if not key_text or len(key_text) > MAX_KEY_CHARS:
        return Err(
            bad_request(
                'this call needs an Idempotency-Key of 1 to 256 characters',
                'idempotency_key_needed',
            ),
        )
    if not is_issued(key_text):
        return await context.claims.async_claim(
            _make_claim_call(admission, key_text)
        )
    decoded = verify_issued_key(
        key_text, team=admission.team.name, secret=context.secret
    )
    if isinstance(decoded, Err):
        return decoded
    if _is_issued_here(context, decoded.ok_value):
        return context.issued_calls.claim_call(
            decoded.ok_value, admission.fingerprint
        )
    return await _async_forward_to_issuer(context, admission, decoded.ok_value)


def _make_claim_call(admission: Admission, idempotency_key: str) -> ClaimCall:
    object_key = claim_key(
        admission.service.name,
        admission.team.name,
        idempotency_key,
    )
    return ClaimCall(
        object_key,
        admission.fingerprint,
        admission.deadline_ms,
    )


def _is_issued_here(context: IdempotencyContext, key: IssuedKey) -> bool:
    own = context.membership.own_status
    return (key.instance_id, key.incarnation) == (
        own.instance_id,
        own.incarnation,
    )


async def _async_forward_to_issuer(
    context: IdempotencyContext,
    admission: Admission,
    key: IssuedKey,
) -> Result[Once | Recorded | HttpResponse, Failure]:
    issuer = context.membership.status_of(key.instance_id)
    if issuer is None or issuer.incarnation != key.incarnation:
        return Err(issuer_gone())
    if HEADER_FORWARDED in admission.request.headers:
        # The instance that forwarded the call still takes this address for the
        # issuer's.
        return Err(issuer_gone())
    return await async_forward(admission, issuer)
