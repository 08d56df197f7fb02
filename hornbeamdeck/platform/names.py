"""The platform's names on the wire, each with what it holds."""

from typing import Final

# Headers, in lower case as they are read.
HEADER_REQUEST: Final = 'hornbeamdeck-request-id'
# How long the caller will wait; towards an engine, how long it may work.
HEADER_PATIENCE_MS: Final = 'hornbeamdeck-deadline-ms'
# Tokens of the prompt and most tokens of the answer, joined by a comma.
HEADER_TOKENS: Final = 'hornbeamdeck-token-counts'
# Parts of the prompt in order, ID:TOKENS joined by commas.
HEADER_PARTS: Final = 'hornbeamdeck-prompt-prefix'
HEADER_EXPECTED_TOKENS: Final = 'hornbeamdeck-length-hint'
HEADER_ENGINE: Final = 'hornbeamdeck-expect-instance'
HEADER_TEAM: Final = 'hornbeamdeck-tenant'
# An engine's signature below its answer.
HEADER_SEAL: Final = 'hornbeamdeck-response-seal'
# An engine's word that it did not run the request.
HEADER_NOT_RUN: Final = 'hornbeamdeck-not-executed'
HEADER_LAST_EVENT: Final = 'last-event-id'

# Headers that the system alone may set towards an engine.
SYSTEM_HEADERS: Final = frozenset(
    (
        HEADER_ENGINE,
        HEADER_TEAM,
        'hornbeamdeck-hold',
        'hornbeamdeck-pin-ms',
        'hornbeamdeck-kv-backup',
        'kv-from',
        'kv-fetch',
    ),
)

# Kinds of objects in the store.
KIND_CONFIGURATION: Final = 'config'
NAME_CONFIGURATION: Final = 'main'
KIND_ENGINES: Final = 'servers'
# The kind of our own in which instances find each other.
KIND_INSTANCES: Final = 'instances'
PATH_OBJECTS: Final = '/v1/objects'

# States of an engine's entry; any other names no engine to use.
STATE_READY: Final = 'ready'
STATE_DRAINING: Final = 'draining'

FIELD_NAME: Final = 'name'
FIELD_SERVICE: Final = 'service'
