"""One parsed version of the configuration."""

import hashlib
import hmac
import json
from collections.abc import Mapping
from typing import Any, NamedTuple, Self

import voluptuous as vol
from result import Err, Ok, Result

from hornbeamdeck.const import ENCODING
from hornbeamdeck.version.const import (
    CONF_KEY_SHA256,
    CONF_NAME,
    CONF_SERVICES,
    CONF_TEAMS,
    CONF_TIERS,
    CONF_UPSTREAMS,
)
from hornbeamdeck.version.cross_check import DocumentError, cross_check
from hornbeamdeck.version.entities import Service, Team, Tier, Upstream
from hornbeamdeck.version.schema import DOCUMENT_SCHEMA

__all__ = ('Configuration', 'parse_document')


class Configuration(NamedTuple):
    """The configuration of the fleet, indexed for lookups.

    :param version: of the document in the store; 0: none was read yet.
    :param document: the accepted text.
    :param teams_by_key: by SHA-256 digest of the bearer key.
    """

    version: int
    document: str
    tiers: Mapping[str, Tier]
    services: Mapping[str, Service]
    teams_by_key: Mapping[str, Team]
    upstreams: Mapping[str, Upstream]

    @classmethod
    def from_config(
        cls,
        raw: Mapping[str, Any],
        *,
        version: int,
        document: str,
    ) -> Self:
        """Build from a validated document."""
        return cls(
            version=version,
            document=document,
            tiers={each[CONF_NAME]: Tier(**each) for each in raw[CONF_TIERS]},
            services={
                each[CONF_NAME]: Service.from_config(each)
                for each in raw[CONF_SERVICES]
            },
            teams_by_key={
                each[CONF_KEY_SHA256]: Team.from_config(each)
                for each in raw[CONF_TEAMS]
            },
            upstreams={
                each[CONF_NAME]: Upstream.from_config(each)
                for each in raw[CONF_UPSTREAMS]
            },
        )

    @classmethod
    def empty(cls) -> Self:
        """Return the state before any document was read; its version is 0."""
        return cls(0, '', {}, {}, {}, {})

    def team_of_key(self, key: str) -> Team | None:
        """Find the team that a bearer key belongs to.

        The lookup uses the digest, so its duration reveals nothing about the
        key. The final comparison takes constant time.
        """
        digest = hashlib.sha256(key.encode(ENCODING)).hexdigest()
        team = self.teams_by_key.get(digest)
        if team is None or not hmac.compare_digest(team.key_sha256, digest):
            return None
        return team

    def upstreams_of(self, service: str) -> tuple[Upstream, ...]:
        """List the upstreams of a service."""
        return tuple(
            each for each in self.upstreams.values() if each.service == service
        )


def parse_document(
    document: str,
    *,
    version: int,
) -> Result[Configuration, tuple[DocumentError, ...]]:
    """Validate a document and build the configuration from it.

    :param version: of the document in the store.
    :returns: the configuration, or all errors with their paths.
    """
    try:
        raw = json.loads(document)
    except ValueError as error:
        return Err((DocumentError('', f'not JSON: {error}'),))
    try:
        validated = DOCUMENT_SCHEMA(raw)
    except vol.MultipleInvalid as invalid:
        return Err(tuple(map(_to_error, invalid.errors)))
    errors = cross_check(validated)
    if errors:
        return Err(errors)
    return Ok(
        Configuration.from_config(
            validated, version=version, document=document
        ),
    )


def _to_error(invalid: vol.Invalid) -> DocumentError:
    path = '.'.join(str(step) for step in invalid.path)
    return DocumentError(path, invalid.msg)
