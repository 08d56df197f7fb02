"""Makes the message with which a request asks for a place on an engine."""

from collections.abc import Iterable

from hornbeamdeck.request.engine_attempts import EngineAttempts
from hornbeamdeck.request.gateway_admission import (
    CLIENT_TIMEOUT_GAPS,
    GatewayAdmission,
)
from hornbeamdeck.wire import Enqueue

__all__ = ('make_enqueue',)


def make_enqueue(
    admission: GatewayAdmission,
    attempts: EngineAttempts,
    *,
    request_id: str,
    excluded: Iterable[str],
    engines_reached: int,
    has_response_started: bool,
    zone: str,
) -> Enqueue:
    """Make the message for the first or a further attempt.

    :param attempts: the attempts so far; a stream that has begun goes on at
        the version that began it.
    :param request_id: by which the owner tells this grant from others.
    :param excluded: engines that the request must not be sent to again.
    :param engines_reached: number of engines that its bytes have reached.
    :param zone: this instance's availability zone.
    """
    request = admission.request
    version = next(iter(attempts.evidence.versions), None)
    return Enqueue(
        request_id=request_id,
        cell=admission.service,
        team=admission.team_name,
        tier_rank=admission.rank,
        deadline_ms=admission.left_ms,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.expected_tokens or request.output_tokens,
        excluded=list(excluded),
        fingerprint=attempts.fingerprint,
        objective_ms=_objective_left_ms(
            admission, has_response_started=has_response_started
        ),
        patience_ms=_client_timeout_left_ms(
            admission, has_response_started=has_response_started
        ),
        gap_ms=admission.route.gap_ms,
        quota_tokens=admission.quota_tokens,
        dispatches=engines_reached,
        zone=zone,
        route_rank=admission.route_rank,
        route=admission.route.name,
        version=version,
        resumes=admission.resumes if version is None else None,
        resumable_ms=admission.resumable_ms,
        shared_parts=request.shared_part_ids or None,
    )


def _objective_left_ms(
    admission: GatewayAdmission, *, has_response_started: bool
) -> int:
    if has_response_started:
        return admission.route.gap_ms
    return admission.objective_left_ms


def _client_timeout_left_ms(
    admission: GatewayAdmission, *, has_response_started: bool
) -> int:
    if has_response_started:
        timeout_ms = CLIENT_TIMEOUT_GAPS * admission.route.gap_ms
        return min(timeout_ms, admission.left_ms)
    return admission.client_timeout_left_ms
