"""Checks how current this process's view of the store is, and refreshes it.

Heartbeats keep the view current while the owner and the peers respond in time.
A process that lags, or whose owner lags, must not use its view for longer than
a change may take to be in force. If the view is too old, a request triggers a
new read of the data that it depends on and waits for it.
"""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from hornbeamdeck.clock import now_ms
from hornbeamdeck.process.gateway_settings import Bounds
from hornbeamdeck.store.coalesced_read import CoalescedRead
from hornbeamdeck.store.engine_directory import EngineDirectory
from hornbeamdeck.store.freshness import Freshness

__all__ = ('FreshnessDependencies', 'FreshnessGuard')

# A confirmation of the configuration expires this long before the bound on
# revoked keys. The margin covers a second in which watches may report nothing
# because the store drops its history of changes, and the time that a request
# takes to reach its engine.
REVOCATION_MARGIN_MS: Final = 1200
# Time from the last check of the list of engines until a request reaches its
# engine: the longest wait for a connection plus one retransmitted packet.
SEND_MARGIN_MS: Final = 600


class FreshnessDependencies(NamedTuple):
    """Records of confirmations and the reads that renew them.

    :param configuration_version: returns the configuration version held here.
    :param bounds: returns the bounds in force.
    :param read_configuration: reads the configuration and returns whether the
        store returned one.
    :param read_engines: reads the list of engines and returns whether the
        store returned one.
    """

    freshness: Freshness[int]
    directory: EngineDirectory
    configuration_version: Callable[[], int]
    bounds: Callable[[], Bounds]
    read_configuration: Callable[[], Awaitable[bool]]
    read_engines: Callable[[], Awaitable[bool]]


class FreshnessGuard:
    """Decides what the confirmations held by this process allow."""

    def __init__(self, dependencies: FreshnessDependencies) -> None:
        """Check and renew the confirmations through these dependencies."""
        self._dependencies = dependencies
        self._configuration_read = CoalescedRead(
            dependencies.read_configuration
        )
        self._engines_read = CoalescedRead(dependencies.read_engines)

    @property
    def newest_confirmed_version(self) -> int:
        """Newest confirmed version of the configuration; 0: none."""
        return self._dependencies.freshness.newest_confirmed_version or 0

    def configuration_age_ms(self) -> float:
        """Return the age of the configuration's confirmation."""
        dependencies = self._dependencies
        return dependencies.freshness.age_ms(
            dependencies.configuration_version(), now_ms()
        )

    def engines_age_ms(self) -> float:
        """Return the age of the confirmation of the list of engines."""
        return self._dependencies.directory.age_ms(now_ms())

    def may_accept_keys(self) -> bool:
        """Return whether keys may be accepted.

        They may while no key can have been revoked longer ago than the bound.
        """
        limit_ms = (
            self._dependencies.bounds().revocation_ms - REVOCATION_MARGIN_MS
        )
        return self.configuration_age_ms() < limit_ms

    def is_configuration_current(self) -> bool:
        """Return whether every change due by now is in force here."""
        limit_ms = self._dependencies.bounds().configuration_apply_ms
        return self.configuration_age_ms() < limit_ms

    async def async_refresh_configuration(self) -> None:
        """Read the configuration if a change could be missing."""
        if not self.is_configuration_current():
            await self._configuration_read.async_wait()

    async def async_refresh_engines(self) -> None:
        """Read the list of engines if a change could be missing.

        This is checked even after a grant: the owner's view may lag, and an
        engine may start draining while the grant is on its way.
        """
        limit_ms = self._dependencies.bounds().drain_ms - SEND_MARGIN_MS
        if self.engines_age_ms() >= limit_ms:
            await self._engines_read.async_wait()
