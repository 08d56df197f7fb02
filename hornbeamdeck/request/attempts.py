"""The attempts of one request so far, and what their ends allow."""

from typing import Final, NamedTuple, Self

from hornbeamdeck.request.gateway_admission import GatewayAdmission
from hornbeamdeck.wire import RunEnd

__all__ = ('Attempts',)

# Ends after which the request has certainly not run, so it may be sent to
# another engine.
_NOT_RUN: Final = frozenset(
    (
        RunEnd.NOT_DISPATCHED,
        RunEnd.UNREACHABLE,
        RunEnd.REJECTED,
        RunEnd.MISDIRECTED,
    ),
)
# Ends before any byte of the request was sent.
_NOT_SENT: Final = frozenset((RunEnd.NOT_DISPATCHED, RunEnd.UNREACHABLE))
# Ends after which it is possible that none of its bytes was sent.
_POSSIBLY_UNSENT: Final = _NOT_SENT | {RunEnd.CANCELLED}
# Ends after which a request that may run twice is sent to another engine.
_RETRYABLE: Final = frozenset((RunEnd.FAILED, RunEnd.SILENT, RunEnd.ERRORED))
# A request is refused after this many engines that neither this instance nor
# any other that it asked could reach. Another instance may reach them.
MAX_UNREACHABLE: Final = 2


class Attempts(NamedTuple):
    """Attempts made for a request so far.

    :param excluded: engines that it must not be sent to again.
    :param engines_reached: number of engines that its bytes have reached.
    :param possible_runs: number of engines that may have worked on it.
    :param unreachable: number of engines that neither this instance nor any
        other that it asked could reach.
    """

    excluded: tuple[str, ...] = ()
    engines_reached: int = 0
    possible_runs: int = 0
    unreachable: int = 0

    def after(self, engine: str, end: RunEnd) -> Self:
        """Return these attempts and one that has ended."""
        return self._replace(
            excluded=(*self.excluded, engine),
            engines_reached=self.engines_reached + (end not in _NOT_SENT),
            possible_runs=self.possible_runs + (end not in _NOT_RUN),
            unreachable=self.unreachable + (end == RunEnd.UNREACHABLE),
        )

    def is_unsent(self, end: RunEnd, *, is_possibly_executing: bool) -> bool:
        """Return whether no byte has reached an engine, with one more attempt.

        :param end: of that attempt, which is not among these.
        :param is_possibly_executing: whether it may have been sent.
        """
        if self.engines_reached or is_possibly_executing:
            return False
        return end in _POSSIBLY_UNSENT

    def allow_another(
        self,
        admission: GatewayAdmission,
        end: RunEnd,
        *,
        is_resumable: bool,
        has_response_started: bool,
    ) -> bool:
        """Return whether another engine may get the request.

        :param end: of the last of these attempts.
        :param is_resumable: whether an engine can be told after which event to
            go on.
        """
        if end == RunEnd.UNREACHABLE:
            return self.unreachable < MAX_UNREACHABLE
        if end in _NOT_RUN:
            return True
        if end not in _RETRYABLE:
            return False
        route = admission.route
        if (
            not route.is_repeatable
            or not is_resumable
            or self.possible_runs >= route.max_attempts
        ):
            return False
        return not has_response_started or route.is_resumable
