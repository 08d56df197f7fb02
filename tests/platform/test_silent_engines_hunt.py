"""A short run of streams beside pauses, configurations and a lost owner.

Engines pause for longer than they may, and go on. All choices follow from a
seed; the times at which they act vary with the machine.
"""

from random import Random
from typing import NamedTuple

import pytest
from curio import TaskGroup, sleep

from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.standins import document, route
from tests.platform.stream_caller import StreamCaller

GATEWAYS = 3
STREAMS = 24
EVENTS = 30
EVENT_GAP_S = 0.03
# Streams may be silent for three times this long.
TARGET_MS = 100
PAUSES_S = (0.2, 0.5, 0.9)
CHANGES = 12


class _Stream(NamedTuple):
    """A stream that has begun.

    :param is_complete: whether its caller got its end.
    """

    gateway: int
    is_complete: bool


def _configuration(choices: Random) -> dict[str, object]:
    """Make a configuration with some routes that nobody uses."""
    streams = route(
        '/guide/',
        kind='streaming',
        service='desk',
        stream_resume=True,
        max_attempts=2,
        timeout_ms=20_000,
        target_latency_ms=TARGET_MS,
        target_gap_ms=TARGET_MS,
    )
    others = [route(f'/x{each}/') for each in range(choices.randrange(100))]
    return document(routes=[streams, *others])


class _Play:
    """One run; what its callers have seen."""

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        self.seen: list[_Stream] = []
        self._fleet = fleet
        self._choices = Random(seed)

    async def async_run(self) -> int:
        """Play to the end; return the index of the gateway that was lost."""
        await self._fleet.store.async_put(
            'config', 'main', _configuration(self._choices)
        )
        for engine in self._fleet.model_engines:
            engine.run_version('v1')
            engine.events = EVENTS
            engine.event_gap_s = EVENT_GAP_S
        await sleep(0.5)
        lost = self._fleet.gateways.index(self._fleet.owner)
        async with TaskGroup() as playing:
            await playing.spawn(self._async_pause_engines)
            await playing.spawn(self._async_change, lost)
            for number in range(STREAMS):
                await playing.spawn(self._async_read, number)
                await sleep(0.05)
        return lost

    async def _async_read(self, number: int) -> None:
        caller = StreamCaller(self._fleet, f'stream-{number}')
        gateway = number % GATEWAYS
        try:
            status = await caller.async_request(
                gateway, hornbeamdeck_deadline_ms='20000'
            )
        except Exception:
            # The gateway was lost before it answered.
            return
        if status == 200:
            is_complete = await caller.async_read_all()
            self.seen.append(_Stream(gateway, is_complete))
        await caller.async_leave()

    async def _async_pause_engines(self) -> None:
        for _ in range(CHANGES):
            engine = self._choices.choice(self._fleet.model_engines)
            engine.event_gap_s = self._choices.choice(PAUSES_S)
            await sleep(self._choices.choice(PAUSES_S) / 2)
            engine.event_gap_s = EVENT_GAP_S

    async def _async_change(self, lost: int) -> None:
        for number in range(CHANGES):
            await self._fleet.store.async_put(
                'config', 'main', _configuration(self._choices)
            )
            await sleep(self._choices.choice(PAUSES_S) / 2)
            if number == CHANGES // 3:
                await self._fleet.gateways[lost].async_kill()


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_streams_of_sound_engines_get_their_ends(seed: int) -> None:
    """Guards against streams that are cut off since an engine pauses."""
    plays: list[tuple[_Play, int]] = []

    @on_platform(GATEWAYS)
    async def _async_play(fleet: PlatformFleet) -> None:
        play = _Play(fleet, seed)
        plays.append((play, await play.async_run()))

    _async_play()
    play, lost = plays[0]
    kept = [each for each in play.seen if each.gateway != lost]
    assert kept
    assert all(each.is_complete for each in kept)
