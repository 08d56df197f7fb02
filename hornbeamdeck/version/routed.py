"""Routes, services, teams and limits of one routed configuration."""

import enum
import hashlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple, Self

from hornbeamdeck.const import ENCODING

__all__ = (
    'EdgeLimits',
    'EngineTraits',
    'Route',
    'RouteKind',
    'RoutedConfiguration',
    'RoutedTeam',
    'ServiceShare',
    'key_digest',
)

# What a caller may cost until a configuration says otherwise.
DEFAULT_HEADER_BYTES: Final = 16_384
DEFAULT_BODY_BYTES: Final = 4_194_304
DEFAULT_HEADER_MS: Final = 3000
DEFAULT_IDLE_MS: Final = 15_000


class RouteKind(enum.StrEnum):
    """What may be done again with a route's requests."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


class ServiceShare(NamedTuple):
    """A service that a route leads to, and its part of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where the requests of a host and a path go, and what they are promised.

    :param path_prefix: begins and ends with a slash.
    :param objective_ms: an answer that begins later counts as late.
    :param gap_ms: longest pause in a stream that is on time; 0: no stream.
    :param timeout_ms: longest time that a request may be kept, milliseconds.
    :param priority: rank, 0 goes first.
    :param max_dispatches: upstreams that one request may be sent to.
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
    max_dispatches: int
    is_public: bool
    is_resumable: bool

    @property
    def is_stream(self) -> bool:
        """Whether answers are streams of events."""
        return self.kind == RouteKind.STREAMING

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run on a second upstream."""
        return self.kind == RouteKind.IDEMPOTENT or self.is_resumable

    def pick_service(self, draw: float) -> str:
        """Choose a service by weight.

        :param draw: uniform in [0, 1).
        """
        left = draw * sum(share.weight for share in self.shares)
        for share in self.shares:
            left -= share.weight
            if left < 0:
                return share.service
        return self.shares[-1].service


class RoutedTeam(NamedTuple):
    """A customer's group of callers and its limit.

    :param rate_per_s: tokens a second; 0: no limit.
    :param burst: tokens that may be spent at once beyond the rate.
    :param plain_tokens: what a request without token counts counts as.
    :param priority: goes before the route's where there is one.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float
    plain_tokens: int


class EngineTraits(NamedTuple):
    """What a configuration says of the engines of one service.

    :param slots: requests that one engine works on at once; 0: not said.
    :param tokens_per_event: tokens in one event of a stream; 0: no model.
    :param memory_tokens: tokens that fit an engine's memory; 0: no model.
    """

    slots: int
    tokens_per_event: int
    memory_tokens: int

    @property
    def is_model(self) -> bool:
        """Whether the service is a language model."""
        return self.tokens_per_event > 0


class EdgeLimits(NamedTuple):
    """What one caller may cost at the edge."""

    max_header_bytes: int = DEFAULT_HEADER_BYTES
    max_body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_ms: int = DEFAULT_HEADER_MS
    idle_timeout_ms: int = DEFAULT_IDLE_MS


class RoutedConfiguration(NamedTuple):
    """One version of the configuration, made for look-ups.

    :param version: revision of the stored document; 0: none is known yet.
    :param document: the text that it was read from, to pass on to peers.
    :param routes: by host, then by path prefix.
    :param teams_by_key: by digest of the bearer key.
    """

    version: int
    document: str
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[str, EngineTraits]
    teams_by_key: Mapping[str, RoutedTeam]
    teams: Mapping[str, RoutedTeam]
    limits: EdgeLimits

    @classmethod
    def empty(cls) -> Self:
        """Make the configuration of a process that knows none."""
        nothing: Mapping[str, RoutedTeam] = MappingProxyType({})
        return cls(
            version=0,
            document='',
            routes=MappingProxyType({}),
            services=MappingProxyType({}),
            teams_by_key=nothing,
            teams=nothing,
            limits=EdgeLimits(),
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix that begins the path."""
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

    def team_of_key(self, key: str) -> RoutedTeam | None:
        """Find the team that holds a bearer key."""
        return self.teams_by_key.get(key_digest(key))


def key_digest(key: str) -> str:
    """Hash a bearer key, so that a dump of memory or logs shows none."""
    return hashlib.sha256(key.encode(ENCODING, 'replace')).hexdigest()
