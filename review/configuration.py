"""A configuration such as the operator writes."""

from collections.abc import Mapping
from typing import Any, Final

HOST: Final = 'desk.example'
KEY: Final = 'key-of-guides'
SERVICE: Final = 'ledger'
TENANT: Final = 'guides'


def make_route(path: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Make a route as the sheet of the small deployments describes it."""
    return {
        'name': path.strip('/'),
        'host': HOST,
        'path_prefix': path,
        'kind': kind,
        'timeout_ms': 1500,
        'target_latency_ms': 125,
        'priority': 2,
        'service': SERVICE,
        'max_attempts': 2 if kind == 'idempotent' else 1,
        'public_access': False,
        'session_affinity': False,
        'stream_resume': False,
        'target_gap_ms': None,
        **fields,
    }


def make_configuration(
    version: int, quota: Mapping[str, int] | None = None
) -> dict[str, Any]:
    """Make a configuration with a route for lookups and one for bookings."""
    return {
        'version': version,
        'routes': [
            make_route('/seats/', 'idempotent'),
            make_route('/book/', 'non_idempotent'),
        ],
        'services': [
            {
                'name': SERVICE,
                'health_path': '/health',
                'max_connections': 208,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [
            {
                'name': TENANT,
                'api_keys': [KEY],
                'priority': 1,
                'unit': 'tokens',
                'plain_tokens': 200,
                'rate_per_s': 0,
                'burst': 0,
                **(quota or {}),
            },
        ],
    }
