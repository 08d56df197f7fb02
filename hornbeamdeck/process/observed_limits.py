"""Request limits that engines stated in responses to this process."""

from typing import NamedTuple

import structlog
from result import Err, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.process.gateway_metrics import GatewayMetrics

__all__ = ('ObservedLimits',)

_LOGGER = structlog.get_logger(prefix='engines')


class _Observation(NamedTuple):
    """What the last response of an engine stated.

    :param per_s: `None`: no limit.
    :param unreadable: the stated text if it is no number.
    """

    per_s: float | None
    observed_ms: float
    unreadable: str = ''


class ObservedLimits:
    """The last limit that each engine stated to this process.

    Only engines that have ever stated one are recorded.
    """

    def __init__(self, metrics: GatewayMetrics) -> None:
        """Start without observations."""
        self._metrics = metrics
        self._observations: dict[str, _Observation] = {}

    def record(self, engine: str, stated: Result[float | None, str]) -> None:
        """Record what a response of an engine stated, and log a change."""
        last = self._observations.get(engine) or _Observation(None, 0)
        if isinstance(stated, Err):
            self._record_unreadable(engine, last, stated.err_value)
            return
        per_s = stated.ok_value
        if per_s is None and last.per_s is None:
            return
        if per_s != last.per_s:
            _LOGGER.info(
                'request limit stated',
                engine=engine,
                per_s=per_s,
                previous_per_s=last.per_s,
            )
        self._observations[engine] = _Observation(per_s, now_ms())
        self._metrics.observed_limits = {
            name: each.per_s
            for name, each in self._observations.items()
            if each.per_s is not None
        }

    def _record_unreadable(
        self, engine: str, last: _Observation, text: str
    ) -> None:
        if last.unreadable == text:
            return
        _LOGGER.warning('request limit not readable', engine=engine, text=text)
        self._observations[engine] = last._replace(unreadable=text)
