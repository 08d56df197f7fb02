"""Decides, right before a request is sent, whether its engine may get it.

The owner that granted the engine may not know yet what this process knows: its
list of engines may be older, and what an engine states in a response reaches
the process that relays the response first.
"""

from collections.abc import Callable
from typing import Final, TypeAlias

from hornbeamdeck.engines.engine_statements import EngineStatements
from hornbeamdeck.request.gateway_request import WithholdReason
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.store.engine_directory import EngineDirectory
from hornbeamdeck.store.freshness_guard import FreshnessGuard
from hornbeamdeck.wire import Grant

__all__ = ('SendGuard',)

IsRolledBack: TypeAlias = Callable[[str, str], bool]

# What an engine has stated in a response, which the owner may not know yet.
_STATED: Final = frozenset((WithholdReason.LEAVING, WithholdReason.RESTING))


class SendGuard:
    """Checks a grant against the list of engines and their statements."""

    def __init__(
        self,
        freshness_guard: FreshnessGuard,
        directory: EngineDirectory,
        statements: EngineStatements,
        is_rolled_back: IsRolledBack,
    ) -> None:
        """Check against this list and these statements.

        :param is_rolled_back: returns whether a version of a service has been
            rolled back, as far as this process knows.
        """
        self._freshness_guard = freshness_guard
        self._directory = directory
        self._statements = statements
        self._is_rolled_back = is_rolled_back

    async def async_check(self, grant: Grant) -> WithholdReason | None:
        """Return why a request must not be sent; `None`: it may be.

        The list of engines is read again first if a change could be missing.
        """
        await self._freshness_guard.async_refresh_engines()
        reason = self.check(grant)
        if reason in _STATED:
            await self._statements.async_remind_owner(grant)
        return reason

    def check(self, grant: Grant) -> WithholdReason | None:
        """Return the same by what is known now."""
        if self._directory.is_draining_or_removed(grant.upstream):
            return WithholdReason.NOT_LISTED
        listed = self._directory.engines.get(grant.upstream)
        if listed is not None and _has_changed_version(listed, grant):
            return WithholdReason.RESTARTED
        if self._is_rolled_back(grant.cell, grant.version or ''):
            return WithholdReason.ROLLED_BACK
        return self._statements.reason_to_withhold(grant)


def _has_changed_version(listed: Engine, grant: Grant) -> bool:
    is_newer = listed.born_ms > (grant.born_ms or 0)
    return is_newer and grant.version not in {None, listed.version}
