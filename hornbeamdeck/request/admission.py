"""Checks team, service, tier and deadline before a request is queued."""

import hashlib
import json
import uuid
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import voluptuous as vol
from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.http import Headers, HttpRequest, bearer_key
from hornbeamdeck.const import ENCODING, HEADER_DEADLINE, HEADER_TIER
from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.request.refusal import (
    bad_request,
    forbidden,
    unauthorized,
    unknown_service,
)
from hornbeamdeck.version.configuration import Configuration
from hornbeamdeck.version.entities import Service, Team, Tier

__all__ = (
    'Admission',
    'admit_model',
    'admit_plain',
    'authenticate_team',
    'make_request_id',
)

CHARS_PER_TOKEN: Final = 4
DEFAULT_OUTPUT_TOKENS: Final = 256
MAX_OUTPUT_TOKENS: Final = 1_000_000
MAX_DEADLINE_MS: Final = 3_600_000
PLAIN_PREFIX: Final = '/services/'

_TOKEN_COUNT: Final = vol.All(int, vol.Range(min=1, max=MAX_OUTPUT_TOKENS))
_MESSAGE: Final = vol.Schema(
    {
        vol.Required('role'): str,
        vol.Optional('content'): vol.Any(str, [dict], None),
    },
    extra=vol.ALLOW_EXTRA,
)
_COMPLETION: Final = vol.Schema(
    {
        vol.Required('model'): str,
        vol.Exclusive('messages', 'asked'): vol.All(
            [_MESSAGE],
            vol.Length(min=1),
        ),
        vol.Exclusive('prompt', 'asked'): vol.Any(str, [str]),
        vol.Optional('max_tokens'): vol.Any(None, _TOKEN_COUNT),
        vol.Optional('max_completion_tokens'): vol.Any(None, _TOKEN_COUNT),
        vol.Optional('stream'): vol.Any(None, bool),
    },
    extra=vol.ALLOW_EXTRA,
)


class Admission(NamedTuple):
    """A request that may be queued.

    :param path: path of the request to the upstream.
    :param deadline_ms: its deadline on this process's clock.
    :param prompt_tokens: estimated from the prompt's length.
    :param output_tokens: the limit that the caller set, or the default.
    :param fingerprint: digest of the call, which stays the same when it is
        resent.
    """

    request_id: str
    team: Team
    service: Service
    tier: Tier
    request: HttpRequest
    path: str
    deadline_ms: float
    prompt_tokens: int
    output_tokens: int
    is_stream: bool
    fingerprint: str

    @property
    def left_ms(self) -> int:
        """Time left until the deadline, at least 0, milliseconds."""
        return max(int(self.deadline_ms - now_ms()), 0)

    @property
    def is_repeatable(self) -> bool:
        """Whether the call may safely run twice."""
        return self.service.is_idempotent(self.request.method, self.path)


def make_request_id() -> str:
    """Make a request id that is unique across processes."""
    return uuid.uuid4().hex


def authenticate_team(
    configuration: Configuration,
    headers: Headers,
) -> Result[Team, NotRun]:
    """Find the team that the bearer key belongs to."""
    key = bearer_key(headers)
    team = configuration.team_of_key(key) if key else None
    if team is None:
        return Err(unauthorized())
    return Ok(team)


def admit_model(
    configuration: Configuration,
    request: HttpRequest,
    request_id: str,
) -> Result[Admission, NotRun]:
    """Check a completion call, whose `model` field names the service."""
    team = authenticate_team(configuration, request.headers)
    if isinstance(team, Err):
        return team
    parsed = _parse_completion(request.body)
    if isinstance(parsed, Err):
        return parsed
    body = parsed.ok_value
    service = configuration.services.get(body['model'])
    if service is None or not service.is_model:
        return Err(unknown_service(body['model']))
    admitted = _admit(configuration, request, team.ok_value, service)
    return admitted.map(
        lambda admission: admission._replace(
            request_id=request_id,
            path=request.path,
            prompt_tokens=_estimate_prompt_tokens(body),
            output_tokens=_max_output_tokens(body),
            is_stream=bool(body.get('stream')),
        ),
    )


def admit_plain(
    configuration: Configuration,
    request: HttpRequest,
    request_id: str,
) -> Result[Admission, NotRun]:
    """Check a call to `/services/<service>/<path>`."""
    team = authenticate_team(configuration, request.headers)
    if isinstance(team, Err):
        return team
    name, _, path = request.path.removeprefix(PLAIN_PREFIX).partition('/')
    service = configuration.services.get(name)
    if service is None or service.is_model:
        return Err(unknown_service(name))
    admitted = _admit(configuration, request, team.ok_value, service)
    return admitted.map(
        lambda admission: admission._replace(
            request_id=request_id,
            path=f'/{path}',
        ),
    )


def _admit(
    configuration: Configuration,
    request: HttpRequest,
    team: Team,
    service: Service,
) -> Result[Admission, NotRun]:
    if service.name not in team.services:
        return Err(forbidden(f'the team may not use {service.name}'))
    tier = _find_tier(configuration, request.headers, team)
    if isinstance(tier, Err):
        return tier
    deadline = _read_deadline_ms(request.headers, tier.ok_value)
    if isinstance(deadline, Err):
        return deadline
    return Ok(
        Admission(
            request_id='',
            team=team,
            service=service,
            tier=tier.ok_value,
            request=request,
            path='',
            deadline_ms=now_ms() + deadline.ok_value,
            prompt_tokens=1,
            output_tokens=1,
            is_stream=False,
            fingerprint=_fingerprint(request),
        ),
    )


def _fingerprint(request: HttpRequest) -> str:
    digest = hashlib.sha256()
    for part in (request.method, request.path, request.query):
        digest.update(f'{part}\x00'.encode(ENCODING))
    digest.update(request.body)
    return digest.hexdigest()


def _find_tier(
    configuration: Configuration,
    headers: Headers,
    team: Team,
) -> Result[Tier, NotRun]:
    name = headers.get(HEADER_TIER, team.tiers[0])
    if name not in configuration.tiers:
        return Err(bad_request('there is no such tier', 'unknown_tier'))
    if name not in team.tiers:
        return Err(forbidden(f'the team may not use tier {name}'))
    return Ok(configuration.tiers[name])


def _read_deadline_ms(headers: Headers, tier: Tier) -> Result[int, NotRun]:
    text = headers.get(HEADER_DEADLINE)
    if text is None:
        return Ok(tier.deadline_ms)
    if not text.isascii() or not text.isdigit():
        return Err(bad_request(f'{HEADER_DEADLINE} is not a whole number'))
    return Ok(min(int(text[:10]), MAX_DEADLINE_MS))


def _parse_completion(body: bytes) -> Result[Mapping[str, Any], NotRun]:
    try:
        parsed = _COMPLETION(json.loads(body))
    except (ValueError, RecursionError):
        return Err(bad_request('the body is not JSON'))
    except vol.MultipleInvalid as invalid:
        return Err(bad_request(str(invalid)))
    if 'messages' not in parsed and 'prompt' not in parsed:
        return Err(bad_request('messages or a prompt is needed'))
    return Ok(parsed)


def _estimate_prompt_tokens(body: Mapping[str, Any]) -> int:
    prompt = body.get('prompt')
    if prompt is None:
        chars = sum(
            len(str(message.get('content') or ''))
            for message in body['messages']
        )
    else:
        chars = (
            len(prompt) if isinstance(prompt, str) else sum(map(len, prompt))
        )
    return max(chars // CHARS_PER_TOKEN, 1)


def _max_output_tokens(body: Mapping[str, Any]) -> int:
    limit = body.get('max_completion_tokens') or body.get('max_tokens')
    return int(limit or DEFAULT_OUTPUT_TOKENS)
