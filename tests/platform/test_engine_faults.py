"""What callers see when engines fail, each in its way."""

from unittest.mock import patch

from curio import sleep

from hornbeamdeck.scheduling.engine_load import EngineLoad
from hornbeamdeck.scheduling.engine_run import EngineRun
from tests.platform.fleet import TOKENS, PlatformFleet, on_platform, request_to


def _all(fleet: PlatformFleet, fault: str) -> None:
    for engine in fleet.desks + fleet.counters:
        engine.faults = [fault]


def _runs(fleet: PlatformFleet) -> int:
    return sum(len(engine.ran) for engine in fleet.desks + fleet.counters)


@on_platform()
async def test_what_was_not_run_goes_to_another_engine(
    fleet: PlatformFleet,
) -> None:
    """An engine is full and says so. Nothing has run, so even a payment may
    go to the next one, and its caller notices nothing.
    """
    fleet.counters[0].faults = ['not_run']
    fleet.counters[1].faults = []
    got = await fleet.async_call('/seats/pay/x')
    assert got.status == 200
    assert _runs(fleet) == 1


@on_platform()
async def test_a_payment_is_never_sent_twice(fleet: PlatformFleet) -> None:
    """The connection breaks after a payment was sent. It may have been made,
    so it goes nowhere else, and nobody is told that it was not.
    """
    _all(fleet, 'reset')
    got = await fleet.async_call('/seats/pay/x')
    assert got.status == 502
    assert _runs(fleet) == 1


@on_platform()
async def test_a_lookup_is_tried_once_more(fleet: PlatformFleet) -> None:
    """A lookup's engine resets or fails. The lookup may repeat, so its caller
    gets the second engine's answer.
    """
    for fault in ('reset', 'error', 'other_id', 'bare'):
        fleet.counters[0].faults = [fault]
        fleet.counters[1].faults = [fault]
        fleet.counters[0].ran.clear()
        fleet.counters[1].ran.clear()
        got = await fleet.async_call('/seats/x')
        assert _runs(fleet) == 2, fault
        # Both fail here: the last word is an engine's own error or ours.
        assert got.status == (500 if fault == 'error' else 502)
        assert ('hornbeamdeck-response-seal' in got.headers) == (
            fault == 'error'
        )


@on_platform()
async def test_a_stream_goes_on_at_another_engine(
    fleet: PlatformFleet,
) -> None:
    """An engine breaks in the middle of an event. The guide reads one whole
    answer with every word once, under the first engine's seal.
    """
    for engine in fleet.desks:
        engine.faults = ['cut']
    fleet.desks[0].faults = ['cut']
    fleet.desks[1].faults = []
    for _ in range(4):
        got = await fleet.async_call('/guide/x', tokens=TOKENS)
        words = [line for line in got.body.splitlines() if line[:4] == b'data']
        assert words == [b'data: word 1', b'data: word 2', b'data: word 3']
    assert not fleet.desks[0].faults


@on_platform()
async def test_a_broken_stream_never_looks_whole(
    fleet: PlatformFleet,
) -> None:
    """A stream that can't be resumed breaks. Ended cleanly, half a species
    note would pass for a whole one; the connection breaks instead.
    """
    for engine in fleet.desks:
        engine.faults = ['cut']
    connection = await fleet.async_open()
    got = await connection.async_fetch(request_to('/note/x', tokens=TOKENS))
    assert got.is_err()


@on_platform()
async def test_the_engine_stops_when_the_caller_leaves(
    fleet: PlatformFleet,
) -> None:
    """A caller closes its connection. Unless the engine is told at once it
    works on for nobody, and those who wait are served later.
    """
    for engine in fleet.desks:
        engine.faults = ['silent']
    connection = await fleet.async_open()
    await connection.async_send(request_to('/note/x', tokens=TOKENS))
    await fleet.async_until(lambda: _runs(fleet) == 1)
    await connection.async_close()
    await fleet.async_until(
        lambda: sum(engine.cut_off for engine in fleet.desks) == 1,
    )


@on_platform()
async def test_the_final_answer_comes_at_the_routes_time_limit(
    fleet: PlatformFleet,
) -> None:
    """An engine is silent. The caller is not left waiting past the time that
    the route allows, and is not told that nothing ran.
    """
    for engine in fleet.counters:
        engine.faults = ['silent']
    got = await fleet.async_call(
        '/seats/pay/x',
        hornbeamdeck_deadline_ms='300',
    )
    assert got.status == 504


@on_platform()
async def test_an_address_used_again_runs_nothing(
    fleet: PlatformFleet,
) -> None:
    """An engine is gone and another service's engine has its address. It says
    that it is not the one; the request goes elsewhere.
    """
    fleet.counters[0].name = 'somebody-else'
    for _ in range(3):
        assert (await fleet.async_call('/seats/pay/x')).status == 200
    assert not fleet.counters[0].ran


@on_platform()
async def test_a_leaving_engine_gets_no_new_work(fleet: PlatformFleet) -> None:
    engine = fleet.counters[0]
    entry = engine.entry('counter', state='draining')
    await fleet.store.async_put('servers', engine.name, entry)
    directory = fleet.fronts[0].parts.directory
    await fleet.async_until(lambda: directory.engines[engine.name].is_leaving)
    for _ in range(4):
        assert (await fleet.async_call('/seats/x')).status == 200
    assert not engine.ran


@on_platform()
async def test_odd_entries_are_ignored_one_by_one(
    fleet: PlatformFleet,
) -> None:
    """Another writer puts entries into the store that no engine wrote. The
    engines beside them go on serving.
    """
    good = fleet.counters[0].entry('counter')
    odd = (
        {'service': 'counter'},
        {**good, 'address': 'nowhere'},
        {**good, 'state': 'odd'},
        {**good, 'slots': 'many'},
        'not even an object',
        None,
        {**good, 'born': 'today'},
    )
    for number, spec in enumerate(odd):
        await fleet.store.async_put('servers', f'odd-{number}', spec)
    await fleet.store.async_put(
        'servers',
        'counter-9',
        fleet.counters[1].entry('counter', slots=7),
    )
    directory = fleet.fronts[0].parts.directory
    await fleet.async_until(lambda: 'counter-9' in directory.engines)
    assert not any(name.startswith('odd') for name in directory.engines)
    await sleep(0)
    assert (await fleet.async_call('/seats/x')).status == 200


@on_platform()
async def test_the_pause_of_a_take_over_teaches_nothing(
    fleet: PlatformFleet,
) -> None:
    """A stream breaks and goes on at another engine a while later. Taken for a
    pause that reading prompts makes, it would keep long prompts off engines.
    """
    seen = []
    learn = EngineLoad.learn_pause

    def _note(load: EngineLoad, run: EngineRun, gap_ms: float) -> None:
        seen.append(gap_ms)
        learn(load, run, gap_ms)

    with patch.object(EngineLoad, 'learn_pause', _note):
        for desk in fleet.desks:
            desk.event_pause_s = 0.02
        await fleet.async_call('/guide/x', tokens=TOKENS)
        await fleet.async_until(lambda: len(seen) == 1)
        fleet.desks[0].faults = ['cut']
        fleet.desks[1].faults = ['']
        for _ in range(2):
            await fleet.async_call('/guide/x', tokens=TOKENS)
        await fleet.async_until(lambda: len(seen) == 3)
    assert seen[0] > 0
    assert 0 in seen
