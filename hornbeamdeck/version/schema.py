"""Schema of the configuration document."""

from typing import Final

import voluptuous as vol

from hornbeamdeck.connection.address import Address
from hornbeamdeck.version.const import (
    CONF_ADDRESS,
    CONF_AVAILABILITY_ZONE,
    CONF_DEADLINE_MS,
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
    CONF_RETENTION_S,
    CONF_SERVICE,
    CONF_SERVICES,
    CONF_TEAMS,
    CONF_TIERS,
    CONF_UPSTREAMS,
    CONF_WEIGHT,
    DEFAULT_DEADLINE_MS,
    DEFAULT_MAX_PROMPT_TOKENS,
    DEFAULT_MAX_RUNNING,
    DEFAULT_RETENTION_S,
    DEFAULT_WEIGHT,
    FORMAT_VERSION,
    KIND_MODEL,
    KIND_PLAIN,
)

__all__ = ('DOCUMENT_SCHEMA',)


SHA256_HEX: Final = r'^[0-9a-f]{64}$'
_NAME: Final = vol.All(str, vol.Match(r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'))
_POSITIVE: Final = vol.All(int, vol.Range(min=1))


def _address(text: object) -> str:
    if not isinstance(text, str):
        raise vol.Invalid('expected ip:port')
    try:
        Address.from_text(text)
    except ValueError as error:
        raise vol.Invalid('expected ip:port') from error
    return text


_TIER: Final = vol.Schema(
    {
        vol.Required(CONF_NAME): _NAME,
        vol.Required(CONF_RANK): vol.All(int, vol.Range(min=0, max=100)),
        vol.Optional(CONF_DEADLINE_MS, default=DEFAULT_DEADLINE_MS): _POSITIVE,
    },
)

_NON_IDEMPOTENT: Final = vol.Schema(
    {
        vol.Required(CONF_METHOD): vol.All(str, vol.Upper),
        vol.Required(CONF_PATH_PREFIX): vol.All(str, vol.Match('^/')),
    },
)

_SERVICE: Final = vol.Schema(
    {
        vol.Required(CONF_NAME): _NAME,
        vol.Required(CONF_KIND): vol.In((KIND_MODEL, KIND_PLAIN)),
        vol.Optional(CONF_NON_IDEMPOTENT, default=list): [_NON_IDEMPOTENT],
        vol.Optional(CONF_RETENTION_S, default=DEFAULT_RETENTION_S): _POSITIVE,
    },
)

_TEAM: Final = vol.Schema(
    {
        vol.Required(CONF_NAME): _NAME,
        vol.Required(CONF_KEY_SHA256): vol.All(str, vol.Match(SHA256_HEX)),
        vol.Required(CONF_TIERS): vol.All([_NAME], vol.Length(min=1)),
        vol.Required(CONF_SERVICES): vol.All([_NAME], vol.Length(min=1)),
        vol.Optional(CONF_WEIGHT, default=DEFAULT_WEIGHT): _POSITIVE,
    },
)

_UPSTREAM: Final = vol.Schema(
    {
        vol.Required(CONF_NAME): _NAME,
        vol.Required(CONF_SERVICE): _NAME,
        vol.Required(CONF_ADDRESS): _address,
        vol.Required(CONF_AVAILABILITY_ZONE): _NAME,
        vol.Optional(CONF_MAX_RUNNING, default=DEFAULT_MAX_RUNNING): _POSITIVE,
        vol.Optional(
            CONF_MAX_PROMPT_TOKENS,
            default=DEFAULT_MAX_PROMPT_TOKENS,
        ): _POSITIVE,
    },
)

DOCUMENT_SCHEMA: Final = vol.Schema(
    {
        vol.Required(CONF_FORMAT): FORMAT_VERSION,
        vol.Required(CONF_TIERS): vol.All([_TIER], vol.Length(min=1)),
        vol.Required(CONF_SERVICES): [_SERVICE],
        vol.Required(CONF_TEAMS): [_TEAM],
        vol.Required(CONF_UPSTREAMS): [_UPSTREAM],
    },
)
