"""Responses of engines that are none, or end before they are whole."""

import pytest

from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.raw_engines import RawEngine, Reply

ONCE = '/note/x'
REPEATED = '/guide/x'


async def _async_replace_engines(
    fleet: PlatformFleet, *replies: Reply
) -> list[RawEngine]:
    """Serve all requests by two engines that send these replies."""
    engines = [RawEngine(f'desk-r{number}', *replies) for number in (1, 2)]
    await fleet.async_replace_model_engines(engines)
    return engines


def _reply(status: str) -> Reply:
    head = f'HTTP/1.1 {status}\r\nFIELDS\r\ncontent-length: 4\r\n\r\n'
    return Reply(head.encode() + b'body')


@pytest.mark.parametrize('status', ['000', '099', '600 Odd', '999'])
@pytest.mark.parametrize(('path', 'runs'), [(ONCE, 1), (REPEATED, 2)])
def test_status_outside_the_valid_range_is_no_response(
    status: str, path: str, runs: int
) -> None:
    """Guards against callers that get an invalid status as a response."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        engines = await _async_replace_engines(fleet, _reply(status))
        got = await fleet.async_call(path)
        assert got.status == 502
        assert sum(engine.requests for engine in engines) == runs

    _run()
