"""Decides, right before a request is sent, whether its engine may get it.

The owner that granted the engine may not know yet what this process knows: its
list of engines may be older, and what an engine states in a response reaches
the process that relays the response first.
"""

from hornbeamdeck.process.engine_directory import EngineDirectory
from hornbeamdeck.process.engine_statements import EngineStatements
from hornbeamdeck.process.freshness_guard import FreshnessGuard
from hornbeamdeck.request.gateway_request import WithholdReason
from hornbeamdeck.wire import Grant

__all__ = ('SendGuard',)


class SendGuard:
    """Checks a grant against the list of engines and their statements."""

    def __init__(
        self,
        freshness_guard: FreshnessGuard,
        directory: EngineDirectory,
        statements: EngineStatements,
    ) -> None:
        """Check against this list and these statements."""
        self._freshness_guard = freshness_guard
        self._directory = directory
        self._statements = statements

    async def async_check(self, grant: Grant) -> WithholdReason | None:
        """Return why a request must not be sent; `None`: it may be.

        The list of engines is read again first if a change could be missing.
        """
        await self._freshness_guard.async_refresh_engines()
        reason = self.check(grant)
        if reason not in {None, WithholdReason.NOT_LISTED}:
            await self._statements.async_remind_owner(grant)
        return reason

    def check(self, grant: Grant) -> WithholdReason | None:
        """Return the same by what is known now."""
        if self._directory.is_draining_or_removed(grant.upstream):
            return WithholdReason.NOT_LISTED
        return self._statements.reason_to_withhold(grant)
