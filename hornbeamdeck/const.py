"""Constants shared by several packages."""

from typing import Final

HEADER_DEADLINE: Final = 'hornbeamdeck-deadline-ms'
HEADER_IDEMPOTENCY_KEY: Final = 'idempotency-key'
HEADER_OUTCOME: Final = 'hornbeamdeck-outcome'
HEADER_REQUEST_ID: Final = 'hornbeamdeck-request-id'
HEADER_TIER: Final = 'hornbeamdeck-tier'

KEY_CONFIGURATION: Final = 'configuration'
PREFIX_CLAIM: Final = 'claims/'
PREFIX_INSTANCE: Final = 'instances/'

MILLIS_PER_SECOND: Final = 1000
MEBIBYTE: Final = 1024 * 1024

ENCODING: Final = 'utf-8'
