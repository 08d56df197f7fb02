"""Configurations as the platform's operator writes them."""

from types import MappingProxyType
from typing import Any, Final

__all__ = ('HOST', 'KEY', 'configuration', 'prompt', 'route', 'tenant')

SERVICE: Final = MappingProxyType(
    {
        'health_path': '/health',
        'max_connections': 628,
        'protocol': 'h1',
        'tls': False,
    }
)
HOST: Final = 'desk.example'
# Each prompt begins with a part that all have.
SHARED_TOKENS: Final = 60
KEY: Final = 'i9n73hh2b9wu3fexd9dn'


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
) -> dict[str, Any]:
    """Make a configuration with the limits that the pages show."""
    return {
        'version': version,
        'routes': routes,
        'services': [{**SERVICE, **each} for each in services],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': tenants,
    }


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Make a route whose prefix is its name."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'priority': 1,
        'max_attempts': 2,
        'public_access': False,
        'stream_resume': False,
        'session_affinity': kind == 'streaming',
        'target_gap_ms': 500,
        **fields,
    }


def tenant(rate_per_s: int, burst: int) -> dict[str, Any]:
    """Make the tenant that holds `KEY`."""
    return {
        'name': 'guides',
        'api_keys': [KEY],
        'priority': 1,
        'unit': 'tokens',
        'plain_tokens': 200,
        'rate_per_s': rate_per_s,
        'burst': burst,
    }


def prompt(request_id: str, counts: str) -> dict[str, str]:
    """Make the headers of a model request.

    :param counts: tokens of the prompt and most tokens of the answer.
    """
    own = int(counts.partition(',')[0]) - SHARED_TOKENS
    return {
        'hornbeamdeck-model': 'm',
        'hornbeamdeck-token-counts': counts,
        'hornbeamdeck-prompt-prefix': (
            f'5c1e07a2:{SHARED_TOKENS},{request_id}:{own}'
        ),
    }
