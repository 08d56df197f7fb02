"""Configuration document of the demo and the benches."""

import hashlib
from collections.abc import Iterable
from typing import Any, Final

from hornbeamdeck.connection.address import Address
from hornbeamdeck.const import ENCODING
from hornbeamdeck.version.const import (
    CONF_ADDRESS,
    CONF_AVAILABILITY_ZONE,
    CONF_FORMAT,
    CONF_KEY_SHA256,
    CONF_KIND,
    CONF_MAX_PROMPT_TOKENS,
    CONF_MAX_RUNNING,
    CONF_METHOD,
    CONF_NAME,
    CONF_NON_IDEMPOTENT,
    CONF_PATH_PREFIX,
    CONF_RANK,
    CONF_SERVICE,
    CONF_SERVICES,
    CONF_TEAMS,
    CONF_TIERS,
    CONF_UPSTREAMS,
    FORMAT_VERSION,
    KIND_MODEL,
    KIND_PLAIN,
)

__all__ = ('MODEL_SERVICE', 'BOOKING_SERVICE', 'make_configuration', 'team_key')

MODEL_SERVICE: Final = 'desk'
BOOKING_SERVICE: Final = 'counter'
TIERS: Final = ('urgent', 'standard', 'long')
TEAMS: Final = (
    'guides',
    'families',
    'writers',
    'fitters',
    'sales',
)


def make_configuration(
    engines: Iterable[Address],
    booking_services: Iterable[Address],
    *,
    max_running: int,
    max_prompt_tokens: int,
) -> dict[str, Any]:
    """Build a configuration document with the given upstreams.

    :param engines: addresses of the upstreams of the model service.
    :param booking_services: addresses of the upstreams of the booking service.
    :param max_running: limit of concurrent requests of each engine.
    :param max_prompt_tokens: prompt token limit of each engine.
    """
    upstreams = [
        {
            CONF_NAME: f'engine-{number}',
            CONF_SERVICE: MODEL_SERVICE,
            CONF_ADDRESS: str(address),
            CONF_AVAILABILITY_ZONE: f'zone-{number % 3}',
            CONF_MAX_RUNNING: max_running,
            CONF_MAX_PROMPT_TOKENS: max_prompt_tokens,
        }
        for number, address in enumerate(engines)
    ]
    upstreams += [
        {
            CONF_NAME: f'counter-{number}',
            CONF_SERVICE: BOOKING_SERVICE,
            CONF_ADDRESS: str(address),
            CONF_AVAILABILITY_ZONE: f'zone-{number % 3}',
        }
        for number, address in enumerate(booking_services)
    ]
    return {
        CONF_FORMAT: FORMAT_VERSION,
        CONF_TIERS: [
            {CONF_NAME: name, CONF_RANK: rank}
            for rank, name in enumerate(TIERS)
        ],
        CONF_SERVICES: [
            {CONF_NAME: MODEL_SERVICE, CONF_KIND: KIND_MODEL},
            {
                CONF_NAME: BOOKING_SERVICE,
                CONF_KIND: KIND_PLAIN,
                CONF_NON_IDEMPOTENT: [
                    {CONF_METHOD: 'POST', CONF_PATH_PREFIX: '/bookings'},
                ],
            },
        ],
        CONF_TEAMS: [_make_team(name) for name in TEAMS],
        CONF_UPSTREAMS: upstreams,
    }


def team_key(team: str) -> str:
    """Return the bearer key of a demo team."""
    return f'key-of-{team}'


def _make_team(name: str) -> dict[str, Any]:
    digest = hashlib.sha256(team_key(name).encode(ENCODING)).hexdigest()
    return {
        CONF_NAME: name,
        CONF_KEY_SHA256: digest,
        CONF_TIERS: list(TIERS),
        CONF_SERVICES: [MODEL_SERVICE, BOOKING_SERVICE],
    }
