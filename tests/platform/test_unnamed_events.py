"""Streams of events without ids, after which nobody can go on."""

import pytest

from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.standins import EngineStandin
from tests.platform.stream_caller import StreamCaller


class _UnnamingEngine(EngineStandin):
    """An engine whose events have ids up to a number."""

    named = 0

    def _event(self, number: int) -> bytes:
        event = super()._event(number)
        return event if number <= self.named else event.split(b'\n', 1)[1]


@pytest.mark.parametrize(('named', 'words'), [(0, [1, 2]), (1, [1])])
def test_no_event_comes_twice_where_events_have_no_ids(
    named: int, words: list[int]
) -> None:
    """Guards against an engine that begins anew where another one broke."""

    @on_platform(count=1)
    async def _async_play(fleet: PlatformFleet) -> None:
        engines = [_UnnamingEngine(f'desk-u{each}') for each in range(2)]
        for engine in engines:
            engine.run_version('v1')
            engine.named = named
            engine.event_gap_s = 0.05
        await fleet.async_replace_model_engines(engines)
        caller = StreamCaller(fleet, 'first')
        await caller.async_begin(0, events=len(words))
        first = next(each for each in engines if each.executed)
        await first.async_stop()
        await first.async_close_connections()
        assert not await caller.async_read_all()
        assert caller.words == words

    _async_play()
