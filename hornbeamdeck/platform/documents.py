"""Parses the platform's configuration document and engine entries."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

import voluptuous as vol
from result import Err, Ok, Result

from hornbeamdeck.connection.json_text import (
    CONTENT_ERRORS,
    is_field_text,
    parse_json,
)
from hornbeamdeck.connection.json_validators import (
    MAX_INT64,
    amount,
    count,
    encodable_text,
    name_text,
    plain_name,
    plain_text,
    remote_address,
    small_count,
    whole_up_to,
)
from hornbeamdeck.platform.wire_names import (
    FIELD_NAME,
    FIELD_SERVICE,
    STATE_DRAINING,
    STATE_READY,
)
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.engine_load import MAX_SLOTS
from hornbeamdeck.version.gateway import (
    CallerLimits,
    EngineProperties,
    GatewayConfiguration,
    GatewayTeam,
    Route,
    RouteKind,
    ServiceShare,
    key_digest,
    routes_by_host,
)

__all__ = ('configuration_version', 'parse_configuration', 'parse_engine')

_PARSE_ERRORS: Final = (vol.Invalid, *CONTENT_ERRORS)
_VERSION: Final = vol.All(whole_up_to(MAX_INT64), vol.Range(min=1))
_FIELD_VERSION: Final = 'version'

_ROUTE: Final = vol.Schema(
    {
        vol.Required(FIELD_NAME): encodable_text,
        vol.Required('host'): name_text,
        vol.Required('path_prefix'): name_text,
        vol.Required('kind'): vol.In([kind.value for kind in RouteKind]),
        vol.Required('timeout_ms'): count,
        vol.Optional('target_latency_ms', default=1000): count,
        vol.Optional('target_gap_ms', default=0): vol.Any(None, count),
        vol.Optional('priority', default=0): vol.Any(None, small_count),
        vol.Optional('max_attempts', default=1): vol.Any(None, count),
        vol.Optional('public_access', default=False): bool,
        vol.Optional('stream_resume', default=False): bool,
        vol.Optional(FIELD_SERVICE): vol.Any(None, encodable_text),
        vol.Optional('traffic_split'): vol.Any(
            None,
            [
                vol.Schema(
                    {
                        vol.Required(FIELD_SERVICE): name_text,
                        vol.Required('weight'): amount,
                    },
                    extra=vol.REMOVE_EXTRA,
                ),
            ],
        ),
    },
    extra=vol.REMOVE_EXTRA,
)
_TEAM: Final = vol.Schema(
    {
        vol.Required(FIELD_NAME): plain_name,
        vol.Optional('api_keys', default=list): [str],
        vol.Optional('priority'): vol.Any(None, small_count),
        vol.Optional('rate_per_s', default=0): vol.Any(None, amount),
        vol.Optional('burst', default=0): vol.Any(None, amount),
        vol.Optional('plain_tokens', default=1): vol.Any(None, count),
    },
    extra=vol.REMOVE_EXTRA,
)
_ENGINE_PROPERTIES: Final = vol.Schema(
    {
        vol.Optional('slots', default=0): count,
        vol.Optional('stride', default=1): small_count,
        vol.Optional('kv_tokens', default=0): count,
    },
    extra=vol.REMOVE_EXTRA,
)
_SERVICE: Final = vol.Schema(
    {
        vol.Required(FIELD_NAME): name_text,
        vol.Optional('engine'): vol.Any(None, dict),
    },
    extra=vol.REMOVE_EXTRA,
)
_LIMITS: Final = vol.Schema(
    {vol.Optional(name): count for name in CallerLimits._fields},
    extra=vol.REMOVE_EXTRA,
)
_DOCUMENT: Final = vol.Schema(
    {
        vol.Required(_FIELD_VERSION): _VERSION,
        vol.Required('routes'): [dict],
        vol.Required('services'): [dict],
        vol.Optional('limits', default=dict): vol.Any(None, dict),
        vol.Optional('tenants', default=list): vol.Any(None, [dict]),
    },
    extra=vol.REMOVE_EXTRA,
)
_ENTRY: Final = vol.Schema(
    {
        vol.Required(FIELD_SERVICE): plain_name,
        vol.Required('address'): remote_address,
        vol.Required('zone'): plain_text,
        vol.Required('slots'): whole_up_to(MAX_SLOTS),
        vol.Required('state'): vol.In((STATE_READY, STATE_DRAINING)),
        # When the engine's incarnation started, in Unix milliseconds.
        vol.Optional('born', default=0): whole_up_to(MAX_INT64),
        vol.Optional('version', default=''): vol.Any(None, plain_text),
        vol.Optional('cold_remaining_ms', default=0): vol.Any(int, float),
        # Counts the orders that the engine has accepted.
        vol.Required('sequence'): whole_up_to(MAX_INT64),
    },
    extra=vol.REMOVE_EXTRA,
)


def configuration_version(document: Any) -> int:
    """Return the version that the operator has given a document.

    :returns: 0 if it states none, which no valid document does.
    """
    try:
        return int(_VERSION(document[_FIELD_VERSION]))
    except (vol.Invalid, LookupError, TypeError):
        return 0


def parse_configuration(
    text: str,
    version: int,
) -> Result[GatewayConfiguration, tuple[object, ...]]:
    """Parse the text of a stored configuration.

    :returns: the configuration, or the errors found in the text.
    """
    try:
        return Ok(_to_configuration(text, version))
    except vol.MultipleInvalid as invalid:
        return Err(tuple(invalid.errors))
    except _PARSE_ERRORS as error:
        return Err((repr(error),))


def parse_engine(name: str, spec: Any) -> Result[Engine, str]:
    """Parse an engine's entry.

    Other programs may write entries too. Each entry is checked on its own, so
    that an invalid one doesn't make the fleet lose the other engines.

    :returns: the engine, or why the entry names none.
    """
    try:
        entry = _ENTRY(spec)
    except _PARSE_ERRORS as error:
        return Err(str(error) or repr(error))
    engine = Engine(
        name=name,
        service=entry[FIELD_SERVICE],
        address=entry['address'],
        availability_zone=entry['zone'],
        slots=entry['slots'],
        is_draining=entry['state'] == STATE_DRAINING,
        born_ms=entry['born'],
        version=entry['version'] or '',
    )
    return Ok(engine) if is_field_text(name) else Err('not a plain name')


def _to_configuration(text: str, version: int) -> GatewayConfiguration:
    raw = _DOCUMENT(parse_json(text))
    teams = [
        (_to_team(team), team['api_keys'])
        for team in map(_TEAM, raw['tenants'] or ())
    ]
    return GatewayConfiguration(
        version=version,
        document=text,
        routes=routes_by_host(map(_to_route, raw['routes'])),
        services=MappingProxyType(
            {
                service[FIELD_NAME]: _to_properties(service.get('engine'))
                for service in map(_SERVICE, raw['services'])
            },
        ),
        teams_by_key=MappingProxyType(
            {key_digest(key): team for team, keys in teams for key in keys},
        ),
        teams=MappingProxyType({team.name: team for team, _ in teams}),
        limits=CallerLimits(**_LIMITS(raw['limits'] or {})),
    )


def _to_route(raw: Any) -> Route:
    checked = _ROUTE(raw)
    shares = tuple(
        ServiceShare(share[FIELD_SERVICE], share['weight'])
        for share in checked.get('traffic_split') or ()
    )
    if not shares:
        shares = (ServiceShare(checked[FIELD_SERVICE], 1),)
    return Route(
        name=checked[FIELD_NAME],
        host=checked['host'].lower(),
        path_prefix=checked['path_prefix'],
        kind=RouteKind(checked['kind']),
        shares=shares,
        objective_ms=checked['target_latency_ms'],
        gap_ms=checked['target_gap_ms'] or 0,
        timeout_ms=checked['timeout_ms'],
        priority=checked['priority'] or 0,
        max_attempts=checked['max_attempts'] or 1,
        is_public=checked['public_access'],
        is_resumable=checked['stream_resume'],
    )


def _to_team(checked: Mapping[str, Any]) -> GatewayTeam:
    return GatewayTeam(
        name=checked[FIELD_NAME],
        priority=checked.get('priority'),
        rate_per_s=checked['rate_per_s'] or 0,
        burst=checked['burst'] or 0,
        default_request_tokens=checked['plain_tokens'] or 0,
    )


def _to_properties(raw: Any) -> EngineProperties:
    if raw is None:
        return EngineProperties(slots=0, tokens_per_event=0, memory_tokens=0)
    checked = _ENGINE_PROPERTIES(raw)
    return EngineProperties(
        slots=min(checked['slots'], MAX_SLOTS),
        tokens_per_event=max(checked['stride'], 1),
        memory_tokens=checked['kv_tokens'],
    )
