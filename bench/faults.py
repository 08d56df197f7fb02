"""Counts violations in a fleet of processes under random faults.

python -m bench.faults --seed 1 --json
python -m bench.faults --seed 1 --without claim --json
"""

import json
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import curio
import fire

from bench.processes import (
    ProcessFleet,
    ProcessFleetPlan,
    async_get_json,
    async_put_json,
    process_fleet,
)
from bench.server_process import ServerProcess, kill_process
from hornbeamdeck.connection.address import Address
from hornbeamdeck.demo.client import CallResult, async_call
from hornbeamdeck.demo.trace import TraceEntry

INSTANCES: Final = 5
ENGINE_SPEEDS: Final = (1.0, 1.0, 0.7, 0.5)
CALLS_PER_S: Final = 25.0
BOOKING_SHARE: Final = 0.4
CONCURRENT_REPEAT_SHARE: Final = 0.3
STREAM_SHARE: Final = 0.7
MAX_BOOKING_ATTEMPTS: Final = 8
REPEAT_GAP_S: Final = 0.4
FAULT_GAP_S: Final = 2.5
DRAINING_GRACE_S: Final = 5.0
SETTLE_S: Final = 12.0
POISON_CALL_NUMBER: Final = 424_242
POISON_ATTEMPTS: Final = 20
STOP_TIMEOUT_S: Final = 45
SWITCHES: Final = '/standin/switches'
RECORDS: Final = '/standin/records'


class Counts(NamedTuple):
    """The counts of one run.

    The fields from `dispatched_twice` on count violations and must be 0, except
    for `engines_lost_to_one`, which may be 2 at most.

    :param engines_lost_to_one: engine crashes caused by one request that the
        caller sends repeatedly.
    """

    requests: int
    answered_whole: int
    not_run: int
    unknown: int
    bookings: int
    bookings_answered: int
    faults: dict[str, int]
    dispatched_twice: int
    run_twice: int
    not_run_that_ran: int
    wrong_or_cut: int
    cut_off_by_stop: int
    sent_to_leaving: int
    engines_lost_to_one: int


class Scenario:
    """The fleet, the callers' records and the faults injected so far."""

    def __init__(self, fleet: ProcessFleet, seed: int) -> None:
        """Create a scenario with no calls and no faults."""
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.records: list[CallResult] = []
        self.records_by_key: dict[str, list[CallResult]] = {}
        self.faults: Counter[str] = Counter()
        self.cut_off_by_stop = 0
        self.sent_to_draining = 0
        self.poison_crashes = 0
        self.is_engine_draining = False
        self.down_instances: set[int] = set()

    def pick_address(self) -> Address:
        """Pick the address of an instance that no fault has taken down."""
        up = [
            server.address
            for number, server in enumerate(self.fleet.instances)
            if number not in self.down_instances
        ]
        return self.rng.choice(up)

    async def async_call(self, entry: TraceEntry, number: int) -> CallResult:
        """Make one call and record its outcome."""
        record = await async_call(entry, number, self.pick_address())
        self.records.append(record)
        return record

    async def async_book(self, number: int) -> None:
        """Make a booking and repeat it until it is answered, up to a limit."""
        key = f'booking-{number}'
        entry = _make_entry('urgent', 4000)._replace(
            team='families',
            service='counter',
            path='/bookings',
            idempotency_key=key,
        )
        attempts = self.records_by_key.setdefault(key, [])
        group = curio.TaskGroup()
        if self.rng.random() < CONCURRENT_REPEAT_SHARE:
            await group.spawn(
                self._async_attempt_booking, entry, number, attempts
            )
        for _ in range(MAX_BOOKING_ATTEMPTS):
            if await self._async_attempt_booking(entry, number, attempts):
                break
            await curio.sleep(REPEAT_GAP_S)
        await group.join()

    async def _async_attempt_booking(
        self,
        entry: TraceEntry,
        number: int,
        attempts: list[CallResult],
    ) -> bool:
        record = await self.async_call(entry, number)
        attempts.append(record)
        return record.is_complete


def _make_entry(tier: str, deadline_ms: int) -> TraceEntry:
    return TraceEntry(
        at_ms=0,
        team='guides',
        tier=tier,
        service='desk',
        deadline_ms=deadline_ms,
        prompt_chars=400,
        output_tokens=40,
    )


async def _async_send_load(scenario: Scenario, seconds: float) -> None:
    group = curio.TaskGroup()
    calls = int(seconds * CALLS_PER_S)
    for number in range(calls):
        await curio.sleep(scenario.rng.expovariate(CALLS_PER_S))
        if scenario.rng.random() < BOOKING_SHARE:
            await group.spawn(scenario.async_book, number)
        else:
            tier = scenario.rng.choice(('urgent', 'standard', 'long'))
            is_stream = scenario.rng.random() < STREAM_SHARE
            entry = _make_entry(tier, 6000)._replace(is_stream=is_stream)
            await group.spawn(scenario.async_call, entry, number)
    await group.join()


async def _async_restart(scenario: Scenario, number: int) -> None:
    started = await curio.run_in_thread(scenario.fleet.start_instance, number)
    scenario.fleet.instances[number] = started
    await curio.sleep(1)
    scenario.down_instances.discard(number)


def _pick_instance(scenario: Scenario) -> tuple[int, ServerProcess]:
    up = [
        each for each in range(INSTANCES) if each not in scenario.down_instances
    ]
    number = scenario.rng.choice(up)
    return number, scenario.fleet.instances[number]


async def _async_kill(scenario: Scenario) -> None:
    number, server = _pick_instance(scenario)
    server.process.kill()
    scenario.down_instances.add(number)
    await curio.run_in_thread(kill_process, server)
    await curio.sleep(1)
    await _async_restart(scenario, number)


async def _async_pause(scenario: Scenario) -> None:
    _, server = _pick_instance(scenario)
    server.process.send_signal(signal.SIGSTOP)
    await curio.sleep(scenario.rng.uniform(0.5, 4))
    server.process.send_signal(signal.SIGCONT)


async def _async_stop(scenario: Scenario) -> None:
    number, server = _pick_instance(scenario)
    server.process.send_signal(signal.SIGTERM)
    scenario.down_instances.add(number)
    exit_code = await curio.run_in_thread(server.process.wait, STOP_TIMEOUT_S)
    scenario.cut_off_by_stop += exit_code != 0
    await _async_restart(scenario, number)


async def _async_outage(scenario: Scenario) -> None:
    address = scenario.fleet.platform.address
    await async_put_json(address, SWITCHES, {'is_down': True})
    await curio.sleep(scenario.rng.uniform(1, 4))
    await async_put_json(address, SWITCHES, {'is_down': False})


async def _async_restore(scenario: Scenario) -> None:
    """Bring the store back from a copy that is a few seconds old."""
    address = scenario.fleet.platform.address
    await async_put_json(address, '/standin/copy', {})
    await curio.sleep(scenario.rng.uniform(0.5, 4))
    await async_put_json(address, SWITCHES, {'is_down': True})
    await curio.sleep(scenario.rng.uniform(0.05, 0.5))
    await async_put_json(address, '/standin/restore', {})
    await async_put_json(address, SWITCHES, {'is_down': False})


async def _async_slow_platform(scenario: Scenario) -> None:
    address = scenario.fleet.platform.address
    await async_put_json(address, SWITCHES, {'delay_ms': 300})
    await curio.sleep(3)
    await async_put_json(address, SWITCHES, {'delay_ms': 0})


async def _async_lost_answers(scenario: Scenario) -> None:
    address = scenario.fleet.platform.address
    await async_put_json(address, SWITCHES, {'lost_answers': 5})


async def _async_engine_outage(scenario: Scenario) -> None:
    engine = scenario.rng.choice(scenario.fleet.engines[1:])
    await async_put_json(engine.address, SWITCHES, {'down_ms': 1500})


async def _async_engine_cut(scenario: Scenario) -> None:
    # This simulates the restart of a network switch between the instances and
    # the engines.
    for engine in scenario.fleet.engines:
        await async_put_json(engine.address, SWITCHES, {'is_cut': True})


async def _async_leaving(scenario: Scenario) -> None:
    if scenario.is_engine_draining:
        # Two at once would list the same engine: the first one to end would
        # list it as live while the other still counts what the engine runs.
        return
    scenario.is_engine_draining = True
    engine = scenario.fleet.engines[0]
    platform = scenario.fleet.platform.address
    engine_states = {str(engine.address): 'leaving'}
    await async_put_json(platform, '/standin/instances', engine_states)
    await curio.sleep(DRAINING_GRACE_S)
    before = await async_get_json(engine.address, RECORDS)
    await curio.sleep(3)
    after = await async_get_json(engine.address, RECORDS)
    scenario.sent_to_draining += len(after['runs']) - len(before['runs'])
    engine_states[str(engine.address)] = 'live'
    await async_put_json(platform, '/standin/instances', engine_states)
    scenario.is_engine_draining = False


Fault = Callable[[Scenario], Awaitable[None]]

# The name of each function without its prefix is a key of `Counts.faults`.
FAULTS: Final[tuple[Fault, ...]] = (
    _async_kill,
    _async_pause,
    _async_stop,
    _async_outage,
    _async_restore,
    _async_slow_platform,
    _async_lost_answers,
    _async_engine_outage,
    _async_engine_cut,
    _async_leaving,
)


async def _async_inject_faults(scenario: Scenario, seconds: float) -> None:
    group = curio.TaskGroup()
    order: list[Fault] = []
    end_s = await curio.clock() + seconds
    while await curio.clock() < end_s:
        if not order:
            order = list(FAULTS)
            scenario.rng.shuffle(order)
        fault = order.pop()
        if len(scenario.down_instances) >= 2 and fault in {
            _async_kill,
            _async_stop,
        }:
            fault = _async_lost_answers
        scenario.faults[fault.__name__.removeprefix('_async_')] += 1
        await group.spawn(fault, scenario)
        await curio.sleep(scenario.rng.uniform(0.5, 1.5) * FAULT_GAP_S)
    await group.join()


async def _async_send_poison(scenario: Scenario) -> None:
    """Repeatedly send one request that crashes its engine."""
    for engine in scenario.fleet.engines:
        await async_put_json(
            engine.address,
            SWITCHES,
            {'break_mark': f'{POISON_CALL_NUMBER} guides'},
        )
    entry = _make_entry('urgent', 4000)
    for _ in range(POISON_ATTEMPTS):
        await async_call(entry, POISON_CALL_NUMBER, scenario.pick_address())
        await curio.sleep(REPEAT_GAP_S)
    records = await _async_read_records(scenario)
    scenario.poison_crashes = sum(each['breaks'] for each in records)


async def _async_read_records(scenario: Scenario) -> list[Any]:
    return [
        await async_get_json(engine.address, RECORDS)
        for engine in scenario.fleet.engines
    ]


async def _async_run_scenario(scenario: Scenario, seconds: float) -> Counts:
    group = curio.TaskGroup()
    await group.spawn(_async_send_load, scenario, seconds)
    await group.spawn(_async_inject_faults, scenario, seconds)
    await group.join()
    await curio.sleep(SETTLE_S)
    records = await _async_read_records(scenario)
    booking = await async_get_json(scenario.fleet.booking.address, RECORDS)
    await _async_send_poison(scenario)
    runs: Counter[str] = Counter()
    for each in records:
        runs.update(each['runs'])
    return _make_counts(scenario, runs, booking['runs'])


def _make_counts(
    scenario: Scenario,
    runs: Counter[str],
    booked: dict[str, int],
) -> Counts:
    outcome_counts = Counter(record.outcome for record in scenario.records)
    answered = [
        any(record.is_complete for record in sent)
        for sent in scenario.records_by_key.values()
    ]
    return Counts(
        requests=len(scenario.records),
        answered_whole=sum(record.is_complete for record in scenario.records),
        not_run=outcome_counts['not_run'],
        unknown=outcome_counts['unknown'],
        bookings=len(scenario.records_by_key),
        bookings_answered=sum(answered),
        faults=dict(scenario.faults),
        dispatched_twice=sum(count > 1 for count in runs.values()),
        run_twice=sum(count > 1 for count in booked.values()),
        not_run_that_ran=_count_not_run_that_ran(scenario, runs, booked),
        wrong_or_cut=sum(
            record.outcome == 'ran' and not record.is_complete
            for record in scenario.records
        ),
        cut_off_by_stop=scenario.cut_off_by_stop,
        sent_to_leaving=scenario.sent_to_draining,
        engines_lost_to_one=scenario.poison_crashes,
    )


def _count_not_run_that_ran(
    scenario: Scenario,
    runs: Counter[str],
    booked: dict[str, int],
) -> int:
    wrong = sum(
        record.outcome == 'not_run' and record.request_id in runs
        for record in scenario.records
    )
    for key, sent in scenario.records_by_key.items():
        all_refused = all(record.outcome == 'not_run' for record in sent)
        wrong += all_refused and key in booked
    return wrong


def run(
    seed: int = 1,
    seconds: float = 60,
    without: str = '',
    json: bool = False,
) -> None:
    """Run the fleet under faults and count violations.

    :param without: a mechanism to disable: claim, drain, end-mark,
        isolation, leaving or single-dispatch.
    """
    module = (
        ('bench.ablated_instance', without) if without else ('hornbeamdeck',)
    )
    plan = ProcessFleetPlan(
        instances=INSTANCES, speeds=ENGINE_SPEEDS, module=module
    )
    with process_fleet(plan) as fleet:
        counts = curio.run(_async_run_scenario, Scenario(fleet, seed), seconds)
    if json:
        print(_to_json(counts))
        return
    for name, figure in counts._asdict().items():
        print(f'{name:24} {figure}')


def _to_json(counts: Counts) -> str:
    return json.dumps(counts._asdict())


if __name__ == '__main__':
    fire.Fire(run)
