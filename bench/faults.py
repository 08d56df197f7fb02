"""A fleet of processes under random faults, and what must stay at 0.

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
    Plan,
    ProcessFleet,
    async_get,
    async_put,
    process_fleet,
)
from bench.running import Running, end
from hornbeamdeck.connection.address import Address
from hornbeamdeck.demo.caller import CallRecord, async_call
from hornbeamdeck.demo.trace import TraceEntry

INSTANCES: Final = 5
SPEEDS: Final = (1.0, 1.0, 0.7, 0.5)
CALLS_PER_S: Final = 25.0
BOOKING_SHARE: Final = 0.4
IMPATIENT_SHARE: Final = 0.3
STREAM_SHARE: Final = 0.7
MAX_SENDS: Final = 8
RESEND_S: Final = 0.4
FAULT_EVERY_S: Final = 2.5
LEAVING_GRACE_S: Final = 5.0
SETTLE_S: Final = 12.0
POISON_NUMBER: Final = 424_242
POISON_SENDS: Final = 20
STOP_TIMEOUT_S: Final = 45
SWITCHES: Final = '/standin/switches'
RECORDS: Final = '/standin/records'


class Counts(NamedTuple):
    """What was seen; all from `dispatched_twice` on must be 0, or 2 at most.

    :param engines_lost_to_one: crashes that one request, resent, brought about;
        2 at most.
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


class Scene:
    """The fleet, what callers saw and what the faults did."""

    def __init__(self, fleet: ProcessFleet, seed: int) -> None:
        """Begin with nothing seen."""
        self.fleet = fleet
        self.draw = random.Random(seed)
        self.records: list[CallRecord] = []
        self.by_key: dict[str, list[CallRecord]] = {}
        self.faults: Counter[str] = Counter()
        self.cut_off_by_stop = 0
        self.sent_to_leaving = 0
        self.crashes = 0
        self.is_engine_leaving = False
        self.down: set[int] = set()

    def address(self) -> Address:
        """Pick an instance that is thought to be up."""
        up = [
            running.address
            for number, running in enumerate(self.fleet.instances)
            if number not in self.down
        ]
        return self.draw.choice(up)

    async def async_call(self, entry: TraceEntry, number: int) -> CallRecord:
        """Make one call and note what became of it."""
        record = await async_call(entry, number, self.address())
        self.records.append(record)
        return record

    async def async_book(self, number: int) -> None:
        """Book, and send the same booking again until it is answered."""
        key = f'booking-{number}'
        entry = _entry('urgent', 4000)._replace(
            team='families',
            service='counter',
            path='/bookings',
            idempotency_key=key,
        )
        seen = self.by_key.setdefault(key, [])
        group = curio.TaskGroup()
        if self.draw.random() < IMPATIENT_SHARE:
            await group.spawn(self._async_send, entry, number, seen)
        for _ in range(MAX_SENDS):
            if await self._async_send(entry, number, seen):
                break
            await curio.sleep(RESEND_S)
        await group.join()

    async def _async_send(
        self,
        entry: TraceEntry,
        number: int,
        seen: list[CallRecord],
    ) -> bool:
        record = await self.async_call(entry, number)
        seen.append(record)
        return record.is_whole


def _entry(tier: str, deadline_ms: int) -> TraceEntry:
    return TraceEntry(
        at_ms=0,
        team='guides',
        tier=tier,
        service='desk',
        deadline_ms=deadline_ms,
        prompt_chars=400,
        output_tokens=40,
    )


async def _async_load(scene: Scene, seconds: float) -> None:
    group = curio.TaskGroup()
    calls = int(seconds * CALLS_PER_S)
    for number in range(calls):
        await curio.sleep(scene.draw.expovariate(CALLS_PER_S))
        if scene.draw.random() < BOOKING_SHARE:
            await group.spawn(scene.async_book, number)
        else:
            tier = scene.draw.choice(('urgent', 'standard', 'long'))
            is_stream = scene.draw.random() < STREAM_SHARE
            entry = _entry(tier, 6000)._replace(is_stream=is_stream)
            await group.spawn(scene.async_call, entry, number)
    await group.join()


async def _async_restart(scene: Scene, number: int) -> None:
    started = await curio.run_in_thread(scene.fleet.start_instance, number)
    scene.fleet.instances[number] = started
    await curio.sleep(1)
    scene.down.discard(number)


def _pick(scene: Scene) -> tuple[int, Running]:
    up = [each for each in range(INSTANCES) if each not in scene.down]
    number = scene.draw.choice(up)
    return number, scene.fleet.instances[number]


async def _async_kill(scene: Scene) -> None:
    number, running = _pick(scene)
    running.process.kill()
    scene.down.add(number)
    await curio.run_in_thread(end, running)
    await curio.sleep(1)
    await _async_restart(scene, number)


async def _async_pause(scene: Scene) -> None:
    _, running = _pick(scene)
    running.process.send_signal(signal.SIGSTOP)
    await curio.sleep(scene.draw.uniform(0.5, 4))
    running.process.send_signal(signal.SIGCONT)


async def _async_stop(scene: Scene) -> None:
    number, running = _pick(scene)
    running.process.send_signal(signal.SIGTERM)
    scene.down.add(number)
    code = await curio.run_in_thread(running.process.wait, STOP_TIMEOUT_S)
    scene.cut_off_by_stop += code != 0
    await _async_restart(scene, number)


async def _async_outage(scene: Scene) -> None:
    address = scene.fleet.platform.address
    await async_put(address, SWITCHES, {'is_down': True})
    await curio.sleep(scene.draw.uniform(1, 4))
    await async_put(address, SWITCHES, {'is_down': False})


async def _async_slow_platform(scene: Scene) -> None:
    address = scene.fleet.platform.address
    await async_put(address, SWITCHES, {'delay_ms': 300})
    await curio.sleep(3)
    await async_put(address, SWITCHES, {'delay_ms': 0})


async def _async_lost_answers(scene: Scene) -> None:
    address = scene.fleet.platform.address
    await async_put(address, SWITCHES, {'lost_answers': 5})


async def _async_engine_outage(scene: Scene) -> None:
    engine = scene.draw.choice(scene.fleet.engines[1:])
    await async_put(engine.address, SWITCHES, {'down_ms': 1500})


async def _async_engine_cut(scene: Scene) -> None:
    # As a switch does that restarts between instances and engines.
    for engine in scene.fleet.engines:
        await async_put(engine.address, SWITCHES, {'is_cut': True})


async def _async_leaving(scene: Scene) -> None:
    if scene.is_engine_leaving:
        # Two at once would take each other's entry off the list.
        return
    scene.is_engine_leaving = True
    engine = scene.fleet.engines[0]
    platform = scene.fleet.platform.address
    listed = {str(engine.address): 'leaving'}
    await async_put(platform, '/standin/instances', listed)
    await curio.sleep(LEAVING_GRACE_S)
    before = await async_get(engine.address, RECORDS)
    await curio.sleep(3)
    after = await async_get(engine.address, RECORDS)
    scene.sent_to_leaving += len(after['runs']) - len(before['runs'])
    listed[str(engine.address)] = 'live'
    await async_put(platform, '/standin/instances', listed)
    scene.is_engine_leaving = False


Fault = Callable[[Scene], Awaitable[None]]

FAULTS: Final[tuple[Fault, ...]] = (
    _async_kill,
    _async_pause,
    _async_stop,
    _async_outage,
    _async_slow_platform,
    _async_lost_answers,
    _async_engine_outage,
    _async_engine_cut,
    _async_leaving,
)


async def _async_faults(scene: Scene, seconds: float) -> None:
    group = curio.TaskGroup()
    order: list[Fault] = []
    until = await curio.clock() + seconds
    while await curio.clock() < until:
        if not order:
            order = list(FAULTS)
            scene.draw.shuffle(order)
        fault = order.pop()
        if len(scene.down) >= 2 and fault in {_async_kill, _async_stop}:
            fault = _async_lost_answers
        scene.faults[fault.__name__.removeprefix('_async_')] += 1
        await group.spawn(fault, scene)
        await curio.sleep(scene.draw.uniform(0.5, 1.5) * FAULT_EVERY_S)
    await group.join()


async def _async_poison(scene: Scene) -> None:
    """Send one request that breaks its engine, again and again."""
    for engine in scene.fleet.engines:
        await async_put(
            engine.address, SWITCHES, {'break_mark': f'{POISON_NUMBER} guides'}
        )
    entry = _entry('urgent', 4000)
    for _ in range(POISON_SENDS):
        await async_call(entry, POISON_NUMBER, scene.address())
        await curio.sleep(RESEND_S)
    records = await _async_records(scene)
    scene.crashes = sum(each['breaks'] for each in records)


async def _async_records(scene: Scene) -> list[Any]:
    return [
        await async_get(engine.address, RECORDS)
        for engine in scene.fleet.engines
    ]


async def _async_scene(scene: Scene, seconds: float) -> Counts:
    group = curio.TaskGroup()
    await group.spawn(_async_load, scene, seconds)
    await group.spawn(_async_faults, scene, seconds)
    await group.join()
    await curio.sleep(SETTLE_S)
    records = await _async_records(scene)
    booking = await async_get(scene.fleet.booking.address, RECORDS)
    await _async_poison(scene)
    runs: Counter[str] = Counter()
    for each in records:
        runs.update(each['runs'])
    return _count(scene, runs, booking['runs'])


def _count(
    scene: Scene,
    runs: Counter[str],
    booked: dict[str, int],
) -> Counts:
    outcomes = Counter(record.outcome for record in scene.records)
    answered = [
        any(record.is_whole for record in sent)
        for sent in scene.by_key.values()
    ]
    return Counts(
        requests=len(scene.records),
        answered_whole=sum(record.is_whole for record in scene.records),
        not_run=outcomes['not_run'],
        unknown=outcomes['unknown'],
        bookings=len(scene.by_key),
        bookings_answered=sum(answered),
        faults=dict(scene.faults),
        dispatched_twice=sum(count > 1 for count in runs.values()),
        run_twice=sum(count > 1 for count in booked.values()),
        not_run_that_ran=_not_run_that_ran(scene, runs, booked),
        wrong_or_cut=sum(
            record.outcome == 'ran' and not record.is_whole
            for record in scene.records
        ),
        cut_off_by_stop=scene.cut_off_by_stop,
        sent_to_leaving=scene.sent_to_leaving,
        engines_lost_to_one=scene.crashes,
    )


def _not_run_that_ran(
    scene: Scene,
    runs: Counter[str],
    booked: dict[str, int],
) -> int:
    wrong = sum(
        record.outcome == 'not_run' and record.request_id in runs
        for record in scene.records
    )
    for key, sent in scene.by_key.items():
        all_refused = all(record.outcome == 'not_run' for record in sent)
        wrong += all_refused and key in booked
    return wrong


def run(
    seed: int = 1,
    seconds: float = 60,
    without: str = '',
    json: bool = False,
) -> None:
    """Run the fleet under faults and count.

    :param without: a mechanism to take out: claim, drain, end-mark,
        isolation, leaving or single-dispatch.
    """
    module = ('bench.weakened', without) if without else ('hornbeamdeck',)
    plan = Plan(instances=INSTANCES, speeds=SPEEDS, module=module)
    with process_fleet(plan) as fleet:
        counts = curio.run(_async_scene, Scene(fleet, seed), seconds)
    if json:
        print(_to_json(counts))
        return
    for name, figure in counts._asdict().items():
        print(f'{name:24} {figure}')


def _to_json(counts: Counts) -> str:
    return json.dumps(counts._asdict())


if __name__ == '__main__':
    fire.Fire(run)
