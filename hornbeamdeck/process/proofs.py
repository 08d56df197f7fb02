"""How current what a process holds of the store is, and makes it current.

Beats keep it current as long as owners and peers keep up. A process that lags,
or whose owner does, must not act on what it holds for longer than a change may
take to be in force, so what a request depends on is read again in its way.
"""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from hornbeamdeck.clock import now_ms
from hornbeamdeck.process.engine_directory import EngineDirectory
from hornbeamdeck.process.freshness import Freshness
from hornbeamdeck.process.front_settings import Bounds
from hornbeamdeck.process.shared_read import SharedRead

__all__ = ('ProofParts', 'Proofs')

# A proof of the configuration is used up so long before the bound on revoked
# keys: a second in which watches may hear nothing while their history goes, and
# the way of a request to its engine.
REVOCATION_MARGIN_MS: Final = 1200
# From the last look at the list of engines until a request reaches its engine:
# the longest wait for a connection, and a packet that is sent again.
SENDING_MS: Final = 600


class ProofParts(NamedTuple):
    """What is proved, and how it is proved anew.

    :param version: the version of the configuration held here.
    :param bounds: the bounds in force.
    :param read_configuration: reads it, and tells whether the store answered.
    :param read_engines: the same for the list of engines.
    """

    freshness: Freshness
    directory: EngineDirectory
    version: Callable[[], int]
    bounds: Callable[[], Bounds]
    read_configuration: Callable[[], Awaitable[bool]]
    read_engines: Callable[[], Awaitable[bool]]


class Proofs:
    """Says for how much the proofs of this process are good."""

    def __init__(self, parts: ProofParts) -> None:
        """Take what proofs are kept in."""
        self._parts = parts
        self._configuration = SharedRead(parts.read_configuration)
        self._engines = SharedRead(parts.read_engines)

    @property
    def newest_version(self) -> int:
        """Newest version of the configuration heard of; 0: none."""
        return self._parts.freshness.newest_version

    def configuration_age_ms(self) -> float:
        """Tell how old the proof of the configuration is."""
        parts = self._parts
        return parts.freshness.age_ms(parts.version(), now_ms())

    def engines_age_ms(self) -> float:
        """Tell how old the proof of the list of engines is."""
        return self._parts.directory.age_ms(now_ms())

    def has_keys(self) -> bool:
        """Whether keys are good: none was revoked longer ago than allowed."""
        limit_ms = self._parts.bounds().revocation_ms - REVOCATION_MARGIN_MS
        return self.configuration_age_ms() < limit_ms

    def is_in_force(self) -> bool:
        """Whether no change can be missing that had to be in force by now."""
        limit_ms = self._parts.bounds().configuration_apply_ms
        return self.configuration_age_ms() < limit_ms

    async def async_renew_configuration(self) -> None:
        """Read the configuration where a change could be missing."""
        if not self.is_in_force():
            await self._configuration.async_wait()

    async def async_may_send(self, engine: str) -> bool:
        """Whether an engine may get work now, however old its grant is.

        Owners lag as well, and a grant may be under way while its engine says
        that it leaves.
        """
        limit_ms = self._parts.bounds().drain_ms - SENDING_MS
        if self.engines_age_ms() >= limit_ms:
            await self._engines.async_wait()
        return not self._parts.directory.has_left(engine)
