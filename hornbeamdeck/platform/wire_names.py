"""Header names, paths, object kinds and fields that the platform defines."""

from typing import Final

# Header names are in lower case, as the HTTP parser returns them.
HEADER_REQUEST_ID: Final = 'hornbeamdeck-request-id'
# In a request from a caller: the client timeout. In a request to an engine:
# how long the engine may work on it.
HEADER_CLIENT_TIMEOUT_MS: Final = 'hornbeamdeck-deadline-ms'
# Prompt tokens and the maximum of response tokens, separated by a comma.
HEADER_TOKEN_COUNTS: Final = 'hornbeamdeck-token-counts'
# The parts of the prompt in order: ID:TOKENS, separated by commas.
HEADER_PROMPT_PARTS: Final = 'hornbeamdeck-prompt-prefix'
HEADER_EXPECTED_TOKENS: Final = 'hornbeamdeck-length-hint'
HEADER_EXPECTED_ENGINE: Final = 'hornbeamdeck-expect-instance'
HEADER_TEAM: Final = 'hornbeamdeck-tenant'
# The engine's signature of its response.
HEADER_RESPONSE_SEAL: Final = 'hornbeamdeck-response-seal'
# Set by an engine that rejects a request and did not run it.
HEADER_NOT_RUN: Final = 'hornbeamdeck-not-executed'
HEADER_LAST_EVENT_ID: Final = 'last-event-id'
# In a request that goes on with a stream: the id of the request that brought
# the stream's first event.
HEADER_RESUMED_REQUEST: Final = 'resumes'
# In a response of an engine: how many requests per second it accepts from all
# instances together, a decimal number. In force while its responses state it.
HEADER_REQUEST_LIMIT: Final = 'server-limit'
# In all responses of an engine that leaves: 1.
HEADER_LEAVING: Final = 'server-leaving'
# In all responses of an engine that falls over if it rejects more requests in a
# second than this.
HEADER_REJECTION_LIMIT: Final = 'server-brittle'

# Headers of engine requests that only the gateway may set. They are removed
# from requests of callers.
GATEWAY_ONLY_HEADERS: Final = frozenset(
    (
        HEADER_EXPECTED_ENGINE,
        HEADER_TEAM,
        'hornbeamdeck-hold',
        'hornbeamdeck-pin-ms',
        'hornbeamdeck-kv-backup',
        'kv-from',
        'kv-fetch',
    ),
)

# In all responses of the store: how often it was restored from an older copy,
# a whole number.
HEADER_STORE_ERA: Final = 'store-era'

# Kinds and names of objects in the store.
KIND_CONFIGURATION: Final = 'config'
NAME_CONFIGURATION: Final = 'main'
KIND_ENGINES: Final = 'servers'
# Operators' orders to bring in a new version of a service, named by service.
KIND_ROLLOUTS: Final = 'rollouts'
# Instances publish their status under this kind and find each other by it.
KIND_INSTANCES: Final = 'instances'
# Objects that only the instances write and read.
KIND_RECORDS: Final = 'records'
PATH_OBJECTS: Final = '/v1/objects'
# What an engine states of itself, with the start of its incarnation.
PATH_REPORT: Final = '/v1/report'

# States of an engine's entry. Entries with any other state are ignored.
STATE_READY: Final = 'ready'
STATE_DRAINING: Final = 'draining'

# States of an order's status. The platform stops the engines of the old version
# at the second and those of the new one at the third.
ROLLOUT_RUNNING: Final = 'running'
ROLLOUT_COMPLETED: Final = 'completed'
ROLLOUT_ROLLED_BACK: Final = 'rolled_back'

FIELD_NAME: Final = 'name'
FIELD_SERVICE: Final = 'service'
FIELD_BORN: Final = 'born'
