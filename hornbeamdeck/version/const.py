"""Fields of the configuration document, their defaults and values."""

from typing import Final

CONF_ADDRESS: Final = 'address'
CONF_AVAILABILITY_ZONE: Final = 'availability_zone'
CONF_DEADLINE_MS: Final = 'deadline_ms'
CONF_FORMAT: Final = 'format'
CONF_KEY_SHA256: Final = 'key_sha256'
CONF_KIND: Final = 'kind'
CONF_MAX_PROMPT_TOKENS: Final = 'max_prompt_tokens'
CONF_MAX_RUNNING: Final = 'max_running'
CONF_METHOD: Final = 'method'
CONF_NAME: Final = 'name'
CONF_NON_IDEMPOTENT: Final = 'non_idempotent'
CONF_PATH_PREFIX: Final = 'path_prefix'
CONF_RANK: Final = 'rank'
CONF_RETENTION_S: Final = 'retention_s'
CONF_SERVICE: Final = 'service'
CONF_SERVICES: Final = 'services'
CONF_TEAMS: Final = 'teams'
CONF_TIERS: Final = 'tiers'
CONF_UPSTREAMS: Final = 'upstreams'
CONF_WEIGHT: Final = 'weight'

DEFAULT_DEADLINE_MS: Final = 10_000
DEFAULT_MAX_PROMPT_TOKENS: Final = 8192
DEFAULT_MAX_RUNNING: Final = 16
DEFAULT_RETENTION_S: Final = 86_400
DEFAULT_WEIGHT: Final = 1

FORMAT_VERSION: Final = 1
KIND_MODEL: Final = 'model'
KIND_PLAIN: Final = 'plain'
