"""Configuration for gateway requests: routes, services, teams, limits."""

import enum
import hashlib
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple, Self

from hornbeamdeck.const import ENCODING

__all__ = (
    'CallerLimits',
    'EngineProperties',
    'Route',
    'RouteKind',
    'GatewayConfiguration',
    'GatewayTeam',
    'ServiceShare',
    'key_digest',
    'routes_by_host',
)

# Limits for one caller until a configuration sets others.
DEFAULT_MAX_HEADER_BYTES: Final = 16_384
DEFAULT_MAX_BODY_BYTES: Final = 4_194_304
DEFAULT_HEADER_TIMEOUT_MS: Final = 3000
DEFAULT_IDLE_TIMEOUT_MS: Final = 15_000


class RouteKind(enum.StrEnum):
    """Whether and how a request of a route may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


class ServiceShare(NamedTuple):
    """A service behind a route, and its share of the route's requests.

    :param weight: relative to the other services of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Services and objectives for the requests of a host and a path.

    :param path_prefix: begins and ends with a slash.
    :param objective_ms: a response that begins later counts as late.
    :param gap_ms: longest gap between two events of a stream that is on time,
        milliseconds; 0: the route has no streams.
    :param timeout_ms: longest time that a request may take, milliseconds.
    :param priority: rank; 0 is served first.
    :param max_attempts: largest number of upstreams that one request may be
        sent to.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    objective_ms: int
    gap_ms: int
    timeout_ms: int
    priority: int
    max_attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def is_stream(self) -> bool:
        """Whether the responses are event streams."""
        return self.kind == RouteKind.STREAMING

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run on a second upstream."""
        return self.kind == RouteKind.IDEMPOTENT or self.is_resumable

    def pick_service(self, draw: float) -> str:
        """Choose a service by weight.

        :param draw: random number, uniform in [0, 1).
        """
        remaining = draw * sum(share.weight for share in self.shares)
        for share in self.shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.shares[-1].service


class GatewayTeam(NamedTuple):
    """A group of a customer's callers, and its quota.

    :param priority: replaces the priority of the route; `None`: it does not.
    :param rate_per_s: tokens per second; 0: no limit.
    :param burst: tokens that may be spent at once in excess of the rate.
    :param default_request_tokens: tokens charged for a request without token
        counts.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float
    default_request_tokens: int


class EngineProperties(NamedTuple):
    """Configured properties of the engines of one service.

    :param slots: requests that one engine runs at once; 0: not configured.
    :param tokens_per_event: tokens in one stream event; 0: not a model.
    :param memory_tokens: tokens that fit into an engine's memory; 0: not a
        model.
    """

    slots: int
    tokens_per_event: int
    memory_tokens: int

    @property
    def is_model(self) -> bool:
        """Whether the service is a language model."""
        return self.tokens_per_event > 0


class CallerLimits(NamedTuple):
    """Limits on the requests of one caller."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_ms: int = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS


class GatewayConfiguration(NamedTuple):
    """One version of the configuration, indexed for lookups.

    :param version: of the document, as the operator counts; 0: none was read
        yet.
    :param document: the text that it was parsed from, sent on to peers.
    :param routes: by host, then by path prefix.
    :param teams_by_key: by digest of the bearer key.
    """

    version: int
    document: str
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[str, EngineProperties]
    teams_by_key: Mapping[str, GatewayTeam]
    teams: Mapping[str, GatewayTeam]
    limits: CallerLimits

    @classmethod
    def empty(cls) -> Self:
        """Return the configuration of a process that has not read one yet."""
        no_teams: Mapping[str, GatewayTeam] = MappingProxyType({})
        return cls(
            version=0,
            document='',
            routes=MappingProxyType({}),
            services=MappingProxyType({}),
            teams_by_key=no_teams,
            teams=no_teams,
            limits=CallerLimits(),
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of the path."""
        routes = self.routes.get(host)
        if routes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def team_of_key(self, key: str) -> GatewayTeam | None:
        """Find the team that a bearer key belongs to."""
        return self.teams_by_key.get(key_digest(key))


def routes_by_host(
    routes: Iterable[Route],
) -> Mapping[str, Mapping[str, Route]]:
    """Index routes by host, then by path prefix."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.path_prefix] = route
    return MappingProxyType(by_host)


def key_digest(key: str) -> str:
    """Hash a bearer key, so that memory dumps and logs contain no keys."""
    return hashlib.sha256(key.encode(ENCODING, 'replace')).hexdigest()
