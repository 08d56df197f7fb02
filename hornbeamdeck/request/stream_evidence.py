"""Whether a stream was made by the version that it is taken for.

A stream goes on only at the version that began it. The version of a grant is
that of the engine's entry, which may describe an earlier incarnation.
"""

from typing import NamedTuple

from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.engines.incarnation_check import OnVerdict
from hornbeamdeck.request.engine_connection import EngineConnection
from hornbeamdeck.request.event_parser import Event
from hornbeamdeck.request.gateway_admission import GatewayAdmission
from hornbeamdeck.request.gateway_context import GatewayContext
from hornbeamdeck.request.gateway_request import WithholdReason
from hornbeamdeck.request.stream_log import log_stream_begun
from hornbeamdeck.wire import Grant, Progress

__all__ = ('StreamEvidence',)


class _Part(NamedTuple):
    """The part of a stream that one engine has made.

    :param connected_ms: when the connection to the engine was established.
    """

    grant: Grant
    connected_ms: float
    is_to_granted_address: bool


class StreamEvidence:
    """Evidence for the versions of the engines that serve one request."""

    def __init__(
        self, context: GatewayContext, admission: GatewayAdmission
    ) -> None:
        """Start without events."""
        self._context = context
        self._admission = admission
        self._parts: list[_Part] = []

    @property
    def versions(self) -> list[str]:
        """Versions of the engines whose events were relayed, in order."""
        return [part.grant.version or '' for part in self._parts]

    async def async_record_part(
        self,
        engine_connection: EngineConnection,
        first: Event,
        first_token_ms: float,
    ) -> None:
        """Record and report the first event that an engine has made.

        If it isn't certain which incarnation made it, the engine is asked in
        the background, and what it states is reported again.
        """
        grant = engine_connection.grant
        connection = engine_connection.connection
        if grant is None or connection is None:
            return
        part = _to_part(grant, connection)
        self._parts.append(part)
        relay = engine_connection.relay

        async def _async_report(is_certain: bool | None) -> None:  # noqa: FBT001
            progress = Progress(
                request_id=grant.request_id,
                cell=grant.cell,
                first_token_ms=int(first_token_ms),
                relay=relay or None,
                is_certain=is_certain,
                upstream=grant.upstream,
                version=grant.version,
                born_ms=grant.born_ms,
            )
            await self._context.report_progress(progress)

        check = self._context.incarnation_check
        is_certain = None
        if part.is_to_granted_address:
            is_certain = check.verdict(grant, part.connected_ms)
        await _async_report(is_certain)
        if is_certain is None:
            await self._async_start_check(part, _async_report)
        log_stream_begun(
            grant,
            part.connected_ms,
            first.event_id,
            engines_age_ms=self._context.freshness_guard.engines_age_ms(),
            is_certain=bool(is_certain),
        )

    async def async_may_go_on(self) -> bool:
        """Return whether the events may be followed by those of an engine.

        Parts after the first were certain before they were requested.
        """
        if not self._parts:
            return True
        return await self._async_is_certain(self._parts[0])

    async def async_withhold(
        self, grant: Grant, connection: ClientConnection, last_event_id: str
    ) -> WithholdReason | None:
        """Return why a request must not be sent on a connection.

        :param last_event_id: empty: the request begins a stream.
        """
        if not last_event_id or not self._admission.route.is_stream:
            return None
        if await self._async_is_certain(_to_part(grant, connection)):
            return None
        return WithholdReason.UNCERTAIN

    async def _async_start_check(self, part: _Part, report: OnVerdict) -> None:
        if self._admission.route.is_resumable and part.is_to_granted_address:
            await self._context.incarnation_check.async_start(
                part.grant, part.connected_ms, report
            )

    async def _async_is_certain(self, part: _Part) -> bool:
        if not part.is_to_granted_address:
            return False
        return await self._context.incarnation_check.async_is_certain(
            part.grant, part.connected_ms
        )


def _to_part(grant: Grant, connection: ClientConnection) -> _Part:
    return _Part(
        grant, connection.opened_ms, str(connection.address) == grant.address
    )
