"""Engines that state how many requests per second they accept."""

from result import Err, Ok

from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.platform.dialect import DIALECT
from tests.platform.fleet import TOKEN_COUNTS, PlatformFleet, on_platform


def _stated(text: str) -> object:
    return DIALECT.stated_request_limit(
        HttpResponse(200, {'server-limit': text}, b'')
    )


def test_a_stated_limit_is_a_decimal_number() -> None:
    """Guards against a limit that a process takes for another number."""
    assert DIALECT.stated_request_limit(HttpResponse(200, {}, b'')) == Ok(None)
    assert _stated('2.7') == Ok(2.7)
    assert _stated(' 0 ') == Ok(0)
    for text in ('', 'nan', 'inf', '-1', '1e3', '2,7', '1, 2', '٣', '9' * 99):
        assert _stated(text) == Err(text)


@on_platform()
async def test_a_stated_limit_can_be_seen_in_the_metrics(
    fleet: PlatformFleet,
) -> None:
    """Guards against limits that an operator can't tell from other causes."""
    metrics = fleet.gateways[0].components.metrics
    for engine in fleet.model_engines:
        engine.state_request_limit('2.7')
    await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
    assert set(metrics.observed_limits.values()) == {2.7}
    for engine in fleet.model_engines:
        engine.state_request_limit('not a number')
    for _ in range(4):
        await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
    assert set(metrics.observed_limits.values()) == {2.7}
    for engine in fleet.model_engines:
        engine.state_request_limit('')
    for _ in range(4):
        await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
    assert not metrics.observed_limits
