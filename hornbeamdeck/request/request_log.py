"""Log lines about a request, and the fields of others."""

import structlog

from hornbeamdeck.observability.logs import age_for_log
from hornbeamdeck.request.engine_attempts import EngineAttempts
from hornbeamdeck.request.gateway_admission import GatewayAdmission
from hornbeamdeck.request.gateway_context import GatewayContext
from hornbeamdeck.wire import Grant, RunEnd

__all__ = (
    'admission_fields',
    'attempt_fields',
    'freshness_fields',
    'log_ended_try',
)

_LOGGER = structlog.get_logger(prefix='request')


def admission_fields(admission: GatewayAdmission) -> dict[str, object]:
    """Return what a request asks for."""
    request = admission.request
    route = admission.route
    return {
        'request_id': request.request_id,
        'route': route.name,
        'kind': route.kind.value,
        'priority': route.priority,
        'objective_ms': route.objective_ms,
        'gap_ms': route.gap_ms,
        'team': admission.team_name,
        'rank': admission.rank,
        'service': admission.service,
        'prompt_tokens': request.prompt_tokens,
        'output_tokens': request.output_tokens,
        'expected_tokens': request.expected_tokens,
        'resumed_request': request.resumed_request_id,
        'resumed_event': request.last_event_id,
    }


def attempt_fields(attempts: EngineAttempts) -> dict[str, object]:
    """Return what was measured on a request's response."""
    return {
        'first_ms': int(attempts.first_byte_ms),
        'begun_ms': int(attempts.arrival_to_first_byte_ms),
        'longest_gap_ms': int(attempts.longest_gap_ms),
        'last_event': attempts.position.last_event_id,
        'stream_versions': attempts.evidence.versions,
        'relay': attempts.relay,
        'dialed_ms': int(attempts.dialed_ms),
        'may_have_run': attempts.is_possibly_executing,
    }


def freshness_fields(context: GatewayContext) -> dict[str, object]:
    """Return which configuration and list of engines decided, and their age."""
    guard = context.freshness_guard
    return {
        'configuration_version': context.configuration().version,
        'newest_version': guard.newest_confirmed_version,
        'proof_age_ms': age_for_log(guard.configuration_age_ms()),
        'engines_age_ms': age_for_log(guard.engines_age_ms()),
    }


def log_ended_try(
    admission: GatewayAdmission,
    attempts: EngineAttempts,
    grant: Grant,
    end: RunEnd,
    took_ms: float,
) -> None:
    """Log how an attempt has ended that brought no whole response."""
    _LOGGER.info(
        'try ended',
        request_id=admission.request.request_id,
        engine=grant.upstream,
        engine_version=grant.version or '',
        events=attempts.event_count,
        end=end.name.lower(),
        cause=attempts.cause,
        took_ms=int(took_ms),
        fingerprint=attempts.fingerprint,
        shared_parts=admission.request.shared_part_ids,
    )
