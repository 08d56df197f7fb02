"""Tests of responses to callers when engines fail in different ways."""

from unittest.mock import patch

from curio import sleep

from hornbeamdeck.scheduling.engine_load import EngineLoad
from hornbeamdeck.scheduling.engine_run import EngineRun
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    make_request,
    on_platform,
)


def _set_fault_on_all(fleet: PlatformFleet, fault: str) -> None:
    for engine in fleet.model_engines + fleet.booking_engines:
        engine.faults = [fault]


def _run_count(fleet: PlatformFleet) -> int:
    return sum(
        len(engine.executed)
        for engine in fleet.model_engines + fleet.booking_engines
    )


@on_platform()
async def test_rejected_request_is_sent_to_another_engine(
    fleet: PlatformFleet,
) -> None:
    """Guards against failing a request that no engine has run.

    An engine is full and rejects a payment without running it. The payment may
    be sent to the next engine, and its caller gets that engine's response.
    """
    fleet.booking_engines[0].faults = ['not_run']
    fleet.booking_engines[1].faults = []
    got = await fleet.async_call('/seats/pay/x')
    assert got.status == 200
    assert _run_count(fleet) == 1


@on_platform()
async def test_non_idempotent_request_is_not_retried(
    fleet: PlatformFleet,
) -> None:
    """Guards against making a payment twice.

    The connection breaks after a payment was sent, so it may have been made.
    It must not be retried, and its caller must not get a response which states
    that it did not run.
    """
    _set_fault_on_all(fleet, 'reset')
    got = await fleet.async_call('/seats/pay/x')
    assert got.status == 502
    assert _run_count(fleet) == 1


@on_platform()
async def test_idempotent_request_is_retried_once(fleet: PlatformFleet) -> None:
    """Guards against failing a lookup at the first engine fault.

    The engine of a lookup resets the connection or fails. A lookup is
    idempotent, so it is retried on the second engine, whose response its caller
    gets.
    """
    for fault in ('reset', 'error', 'other_id', 'no_seal'):
        fleet.booking_engines[0].faults = [fault]
        fleet.booking_engines[1].faults = [fault]
        fleet.booking_engines[0].executed.clear()
        fleet.booking_engines[1].executed.clear()
        got = await fleet.async_call('/seats/x')
        assert _run_count(fleet) == 2, fault
        # Both engines fail here. The final response is the engine's error, or
        # the gateway's where the engine sent no usable response.
        assert got.status == (500 if fault == 'error' else 502)
        assert ('hornbeamdeck-response-seal' in got.headers) == (
            fault == 'error'
        )


@on_platform()
async def test_stream_is_resumed_on_another_engine(
    fleet: PlatformFleet,
) -> None:
    """Guards against lost or repeated events of a resumed stream.

    An engine's connection breaks within an event. The caller must get one
    complete response with every word once, under the first engine's seal.
    """
    for engine in fleet.model_engines:
        engine.faults = ['cut']
    fleet.model_engines[0].faults = ['cut']
    fleet.model_engines[1].faults = []
    for _ in range(4):
        got = await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
        events = [line for line in got.body.splitlines() if line[:4] == b'data']
        assert events == [b'data: word 1', b'data: word 2', b'data: word 3']
    assert not fleet.model_engines[0].faults


@on_platform()
async def test_broken_stream_is_not_ended_cleanly(
    fleet: PlatformFleet,
) -> None:
    """Guards against an incomplete stream that looks complete.

    A stream that can't be resumed breaks. With a clean end, callers would take
    half of the text for all of it, so the connection is aborted instead.
    """
    for engine in fleet.model_engines:
        engine.faults = ['cut']
    connection = await fleet.async_open()
    got = await connection.async_fetch(
        make_request('/note/x', tokens=TOKEN_COUNTS)
    )
    assert got.is_err()


@on_platform()
async def test_run_is_cancelled_when_caller_disconnects(
    fleet: PlatformFleet,
) -> None:
    """Guards against engines that work on abandoned requests.

    A caller closes its connection. Unless the engine's run is cancelled at
    once, it occupies the engine, and waiting requests are served later.
    """
    for engine in fleet.model_engines:
        engine.faults = ['silent']
    connection = await fleet.async_open()
    await connection.async_send(make_request('/note/x', tokens=TOKEN_COUNTS))
    await fleet.async_until(lambda: _run_count(fleet) == 1)
    await connection.async_close()
    await fleet.async_until(
        lambda: (
            sum(engine.cancelled_runs for engine in fleet.model_engines) == 1
        ),
    )


@on_platform()
async def test_final_response_is_sent_at_time_limit(
    fleet: PlatformFleet,
) -> None:
    """Guards against callers that wait past the time limit.

    An engine sends no response. The caller must get a final response at the
    time limit, and it must not state that nothing ran.
    """
    for engine in fleet.booking_engines:
        engine.faults = ['silent']
    got = await fleet.async_call(
        '/seats/pay/x',
        hornbeamdeck_deadline_ms='300',
    )
    assert got.status == 504


@on_platform()
async def test_engine_at_reused_address_runs_nothing(
    fleet: PlatformFleet,
) -> None:
    """Guards against running a request on the wrong engine.

    An engine has stopped, and one of another service has its address. This
    engine rejects the request as misdirected, and the request is sent to
    another engine.
    """
    fleet.booking_engines[0].name = 'somebody-else'
    for _ in range(3):
        assert (await fleet.async_call('/seats/pay/x')).status == 200
    assert not fleet.booking_engines[0].executed


@on_platform()
async def test_draining_engine_gets_no_new_requests(
    fleet: PlatformFleet,
) -> None:
    engine = fleet.booking_engines[0]
    entry = engine.entry('counter', state='draining')
    await fleet.store.async_put('servers', engine.name, entry)
    directory = fleet.gateways[0].components.directory
    await fleet.async_until(lambda: directory.engines[engine.name].is_draining)
    for _ in range(4):
        assert (await fleet.async_call('/seats/x')).status == 200
    assert not engine.executed


@on_platform()
async def test_invalid_entries_are_ignored_individually(
    fleet: PlatformFleet,
) -> None:
    """Guards against losing valid engines because of invalid entries.

    Another program writes invalid engine entries into the store. The engines
    with valid entries must continue to serve requests.
    """
    valid = fleet.booking_engines[0].entry('counter')
    invalid = (
        {'service': 'counter'},
        {**valid, 'address': 'nowhere'},
        {**valid, 'state': 'odd'},
        {**valid, 'slots': 'many'},
        'not even an object',
        None,
        {**valid, 'born': 'today'},
    )
    for number, spec in enumerate(invalid):
        await fleet.store.async_put('servers', f'odd-{number}', spec)
    await fleet.store.async_put(
        'servers',
        'counter-9',
        fleet.booking_engines[1].entry('counter', slots=7),
    )
    directory = fleet.gateways[0].components.directory
    await fleet.async_until(lambda: 'counter-9' in directory.engines)
    assert not any(name.startswith('odd') for name in directory.engines)
    await sleep(0)
    assert (await fleet.async_call('/seats/x')).status == 200


@on_platform()
async def test_gap_of_resumed_stream_is_not_learned(
    fleet: PlatformFleet,
) -> None:
    """Guards against learning a wrong effect of prompts on streams.

    A stream breaks and is resumed on another engine after a gap. If the gap
    were attributed to the prefill of prompts, the scheduler would stop sending
    long prompts to engines.
    """
    gaps_ms = []
    learn_gap = EngineLoad.learn_gap

    def _record_gap(load: EngineLoad, run: EngineRun, gap_ms: float) -> None:
        gaps_ms.append(gap_ms)
        learn_gap(load, run, gap_ms)

    with patch.object(EngineLoad, 'learn_gap', _record_gap):
        for engine in fleet.model_engines:
            engine.event_gap_s = 0.02
        await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
        await fleet.async_until(lambda: len(gaps_ms) == 1)
        # Whichever engine gets the next request breaks its stream.
        shared_faults = ['cut']
        for faulty in fleet.model_engines:
            faulty.faults = shared_faults
        for _ in range(2):
            await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
        await fleet.async_until(lambda: len(gaps_ms) == 3)
    assert gaps_ms[0] > 0
    assert 0 in gaps_ms
