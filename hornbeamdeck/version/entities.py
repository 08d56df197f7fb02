"""Entities defined in a configuration."""

import posixpath
from collections.abc import Mapping
from typing import Any, NamedTuple, Self
from urllib.parse import unquote

from hornbeamdeck.connection.address import Address
from hornbeamdeck.version.const import (
    CONF_ADDRESS,
    CONF_NON_IDEMPOTENT,
    CONF_SERVICES,
    CONF_TIERS,
    KIND_MODEL,
)

__all__ = ('NonIdempotentCalls', 'Service', 'Team', 'Tier', 'Upstream')


class Tier(NamedTuple):
    """A tier of requests; a lower rank is served first."""

    name: str
    rank: int
    deadline_ms: int


class NonIdempotentCalls(NamedTuple):
    """Calls that may run at most once, by method and path prefix."""

    method: str
    path_prefix: str


class Service(NamedTuple):
    """A service that callers request by name."""

    name: str
    kind: str
    non_idempotent: tuple[NonIdempotentCalls, ...]
    retention_s: int

    @classmethod
    def from_config(cls, raw: Mapping[str, Any]) -> Self:
        """Build from a validated section of the document."""
        non_idempotent = tuple(
            NonIdempotentCalls(**calls) for calls in raw[CONF_NON_IDEMPOTENT]
        )
        return cls(**{**raw, CONF_NON_IDEMPOTENT: non_idempotent})

    @property
    def is_model(self) -> bool:
        """Whether model engines serve it."""
        return self.kind == KIND_MODEL

    def is_idempotent(self, method: str, path: str) -> bool:
        """Whether a call may run more than once.

        Paths are normalized first. An upstream may treat `//Bookings`,
        `/%62ookings` or `/x/../bookings` as `/bookings`; without normalizing,
        a booking sent to such a path would run without a claim.
        """
        normalized = _normalize_path(path)
        return not any(
            method == calls.method
            and normalized.startswith(_normalize_path(calls.path_prefix))
            for calls in self.non_idempotent
        )


class Team(NamedTuple):
    """A group of a customer's callers that shares one key."""

    name: str
    key_sha256: str
    tiers: tuple[str, ...]
    services: tuple[str, ...]
    weight: int

    @classmethod
    def from_config(cls, raw: Mapping[str, Any]) -> Self:
        """Build from a validated section of the document."""
        lists = {name: tuple(raw[name]) for name in (CONF_TIERS, CONF_SERVICES)}
        return cls(**{**raw, **lists})


class Upstream(NamedTuple):
    """A model engine, or a server of a plain service."""

    name: str
    service: str
    address: Address
    availability_zone: str
    max_running: int
    max_prompt_tokens: int

    @classmethod
    def from_config(cls, raw: Mapping[str, Any]) -> Self:
        """Build from a validated section of the document."""
        return cls(
            **{**raw, CONF_ADDRESS: Address.from_text(raw[CONF_ADDRESS])}
        )


def _normalize_path(path: str) -> str:
    return posixpath.normpath(f'/{unquote(path).lstrip("/")}').casefold()
