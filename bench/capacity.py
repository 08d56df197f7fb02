"""Measures how costs grow with size, for docs/CAPACITY.md.

python -m bench.capacity --json
"""

import gc
import hashlib
import json
import time
import tracemalloc
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Final

import curio
import fire

from bench.processes import (
    ProcessFleet,
    ProcessFleetPlan,
    fetch_json,
    process_fleet,
)
from bench.worker import SHORT_CALL
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import async_fetch_on_new_connection
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.store_client import StoredObject
from hornbeamdeck.const import ENCODING, PREFIX_INSTANCE
from hornbeamdeck.demo.client import async_call
from hornbeamdeck.demo.configuration import make_configuration
from hornbeamdeck.membership.membership import (
    STATE_LIVE,
    InstanceStatus,
    Membership,
)
from hornbeamdeck.scheduling.admission_control import SharedState
from hornbeamdeck.scheduling.cell import Cell
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.retry_budget import RetryBudget, RetryRules
from hornbeamdeck.scheduling.token_quota import (
    QuotaRules,
    QuotaView,
    TokenQuotas,
)
from hornbeamdeck.version.configuration import Configuration, parse_document
from hornbeamdeck.version.gateway import EngineProperties
from hornbeamdeck.wire import (
    Enqueue,
    Grant,
    Message,
    Progress,
    Register,
    Release,
    RunEnd,
    encode_frame,
)

MEMBER_COUNTS: Final = (13, 130, 390)
TEAM_COUNTS: Final = (1000, 10_000, 33_000)
WAITING_COUNTS: Final = (10, 100, 1000)
UPSTREAM_COUNTS: Final = (4, 12, 36)
# Engines of the largest services, and the speeds of their engines.
ENGINE_COUNTS: Final = (45, 112)
ENGINE_SLOWNESS: Final = (0.68, 0.68, 3.0)
ENGINE_SLOTS: Final = 8
ENGINE_WAITING: Final = 100
FLEET_SIZES: Final = (2, 4, 8)
ROUNDS: Final = 2000
IDLE_DURATION_S: Final = 10.0
CALL_COUNT: Final = 200
CELL: Final = 'desk'
ID_CHARS: Final = 32
FINGERPRINT_CHARS: Final = 16
EXTRA_REQUEST_NUMBERS: Final = range(1_000_000, 1_000_500)

Figures = dict[str, Any]


def _mean_us(action: Callable[[], object], rounds: int) -> float:
    begin_s = time.perf_counter()
    for _ in range(rounds):
        action()
    return round((time.perf_counter() - begin_s) * 1_000_000 / rounds, 1)


def _allocated_bytes(build: Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    retained = [build()]
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    retained.clear()
    return allocated


def measure_membership() -> list[Figures]:
    """Measure owner lookup and membership state, by number of instances."""
    return [_measure_members(count) for count in MEMBER_COUNTS]


def _measure_members(count: int) -> Figures:
    membership = _make_membership(count)
    return {
        'instances': count,
        'owner_of_us': _mean_us(
            lambda: membership.owner_of(CELL), ROUNDS // 10
        ),
        'state_bytes': _allocated_bytes(lambda: _make_membership(count)),
    }


def _make_membership(count: int) -> Membership:
    address = Address('127.0.0.1', 1)
    own = InstanceStatus('i0', address, address, 'z', 'x', STATE_LIVE)
    membership = Membership(own)
    for number in range(1, count):
        status = own._replace(instance_id=f'i{number}', incarnation='y' * 32)
        key = f'{PREFIX_INSTANCE}{status.instance_id}'
        membership.apply_status(StoredObject(key, number, status.to_text()))
    return membership


def measure_configuration() -> list[Figures]:
    """Measure the configuration and its parsing, by number of teams."""
    return [_measure_teams(count) for count in TEAM_COUNTS]


def _make_document_text(count: int) -> str:
    address = Address('127.0.0.1', 1)
    raw = make_configuration([address], [], max_running=1, max_prompt_tokens=1)
    model = raw['teams'][0]
    raw['teams'] = [
        {
            **model,
            'name': f'team-{number}',
            'key_sha256': hashlib.sha256(str(number).encode()).hexdigest(),
        }
        for number in range(count)
    ]
    return json.dumps(raw)


def _measure_teams(count: int) -> Figures:
    document = _make_document_text(count)

    def _parse() -> Configuration:
        return parse_document(document, version=1).unwrap()

    return {
        'teams': count,
        'document_bytes': len(document),
        'adopt_ms': round(_mean_us(_parse, 2) / 1000, 1),
        'state_bytes': _allocated_bytes(_parse),
    }


async def _async_discard(_message: Message) -> None:
    """Discard a message."""


def _make_request(number: int) -> Enqueue:
    return Enqueue(
        request_id=f'{number:032x}',
        cell=CELL,
        team=f'team-{number % 50}',
        tier_rank=number % 4,
        deadline_ms=10_000_000,
        prompt_tokens=300,
        output_tokens=100,
        excluded=[],
        fingerprint='a' * FINGERPRINT_CHARS,
    )


def _make_cell(upstreams: int) -> Cell:
    raw = make_configuration(
        [Address('127.0.0.1', 1000 + each) for each in range(upstreams)],
        [],
        max_running=4,
        max_prompt_tokens=8192,
    )
    parsed = parse_document(json.dumps(raw), version=1).unwrap()
    cell = Cell()
    cell.apply_configuration(parsed.upstreams_of(CELL), weights={}, top_rank=0)
    return cell


def _enqueue_request(cell: Cell, number: int) -> None:
    cell.enqueue(
        _make_request(number), sender='s', deliver=_async_discard, now=0
    )


def _enqueue_extra_requests(cell: Cell) -> None:
    for number in EXTRA_REQUEST_NUMBERS:
        _enqueue_request(cell, number)


def _grant_waiting(cell: Cell) -> list[str]:
    return [each.queued.request.request_id for each in cell.place_waiting(0)]


def measure_decisions() -> list[Figures]:
    """Measure time and memory per request, by queue length and upstreams."""
    return [
        _measure_cell(waiting, upstreams)
        for waiting, upstreams in (
            *((waiting, UPSTREAM_COUNTS[0]) for waiting in WAITING_COUNTS),
            *(
                (WAITING_COUNTS[1], upstreams)
                for upstreams in UPSTREAM_COUNTS[1:]
            ),
        )
    ]


def _measure_cell(waiting: int, upstreams: int) -> Figures:
    cell = _make_cell(upstreams)
    for number in range(waiting + 4 * upstreams):
        _enqueue_request(cell, number)
    granted_ids = _grant_waiting(cell)
    extra_bytes = _allocated_bytes(partial(_enqueue_extra_requests, cell))
    for number in EXTRA_REQUEST_NUMBERS:
        cell.withdraw(f'{number:032x}')
    new_numbers = iter(range(10**7, 10**8))

    def _replace_one_request() -> None:
        ended_id = granted_ids.pop(0)
        cell.progress(
            Progress(request_id=ended_id, cell=CELL, first_token_ms=50),
            now=0,
        )
        cell.release(
            Release(
                request_id=ended_id,
                cell=CELL,
                end=RunEnd.ANSWERED,
                total_ms=500,
            ),
            now=0,
        )
        _enqueue_request(cell, next(new_numbers))
        granted_ids.extend(
            each.queued.request.request_id for each in cell.place_waiting(0)
        )

    return {
        'waiting': waiting,
        'upstreams': upstreams,
        'request_us': _mean_us(_replace_one_request, ROUNDS),
        'waiting_bytes': extra_bytes // len(EXTRA_REQUEST_NUMBERS),
    }


def measure_placement() -> list[Figures]:
    """Measure the time per request of a full service, by engines."""
    return [_measure_engines(count) for count in ENGINE_COUNTS]


def _make_engine_cell(count: int) -> EngineCell:
    quotas = TokenQuotas(
        QuotaView(lambda _team, _now: (), lambda: True, lambda: 1.0),
        QuotaRules(window_ms=8000, slack=0),
        is_first_start=True,
    )
    cell = EngineCell(
        SharedState(quotas=quotas, teams={}, is_certain=lambda *_asked: True),
        RetryBudget(RetryRules(0.2, 100, 10_000), lambda _now: 1.0),
    )
    engines = [
        Engine(
            f'e{each}',
            CELL,
            f'127.0.0.1:{each + 1}',
            'z1',
            ENGINE_SLOTS,
            is_draining=False,
            born_ms=1,
        )
        for each in range(count)
    ]
    slowness = {
        each.name: ENGINE_SLOWNESS[number % len(ENGINE_SLOWNESS)]
        for number, each in enumerate(engines)
    }
    cell.update_engines(
        engines, EngineProperties(ENGINE_SLOTS, 5, 660_000), slowness
    )
    return cell


def _measure_engines(count: int) -> Figures:
    cell = _make_engine_cell(count)
    clock_ms = [0.0]
    running: deque[str] = deque()
    numbers = iter(range(10**6))

    def _enqueue_and_place() -> None:
        now = clock_ms[0]
        request = _make_request(next(numbers))
        cell.enqueue(request, sender='s', deliver=_async_discard, now=now)
        running.extend(
            each.queued.request.request_id for each in cell.place_waiting(now)
        )

    for _ in range(count * ENGINE_SLOTS + ENGINE_WAITING):
        _enqueue_and_place()

    def _replace_one_request() -> None:
        clock_ms[0] += 1
        now = clock_ms[0]
        ended_id = running.popleft()
        cell.progress(
            Progress(request_id=ended_id, cell=CELL, first_token_ms=50), now
        )
        list(cell.place_waiting(now))
        cell.release(
            Release(
                request_id=ended_id,
                cell=CELL,
                end=RunEnd.ANSWERED,
                total_ms=500,
            ),
            now,
        )
        list(cell.refuse_expired(now))
        _enqueue_and_place()

    return {
        'engines': count,
        'request_us': _mean_us(_replace_one_request, ROUNDS),
        'waiting': len(cell),
    }


def measure_frames() -> Figures:
    """Measure the size of the message frames of one request."""
    request_id = 'f' * ID_CHARS
    frames: dict[str, Message] = {
        'enqueue': _make_request(1),
        'grant': Grant(request_id=request_id, cell=CELL, upstream='engine-1'),
        'progress': Progress(
            request_id=request_id,
            cell=CELL,
            first_token_ms=50,
        ),
        'release': Release(
            request_id=request_id,
            cell=CELL,
            end=RunEnd.ANSWERED,
            total_ms=500,
        ),
        'register': Register(
            request_id=request_id,
            cell=CELL,
            upstream='engine-1',
            prompt_tokens=300,
            output_tokens=100,
            is_prefilling=True,
            fingerprint='a' * FINGERPRINT_CHARS,
        ),
    }
    return {name: len(encode_frame(each)) for name, each in frames.items()}


def measure_idle() -> list[Figures]:
    """Measure the resources an idle instance uses, by fleet size."""
    return [_measure_idle_fleet(count) for count in FLEET_SIZES]


def _measure_idle_fleet(count: int) -> Figures:
    with process_fleet(
        ProcessFleetPlan(instances=count, speeds=(1.0,))
    ) as fleet:
        time.sleep(2)
        calls_before = _count_platform_calls(fleet)
        cpu_before_s = sum(each.cpu_s() for each in fleet.instances)
        time.sleep(IDLE_DURATION_S)
        spent_s = sum(each.cpu_s() for each in fleet.instances) - cpu_before_s
        call_count = _count_platform_calls(fleet) - calls_before
        resident_kib = max(each.resident_kib() for each in fleet.instances)
    return {
        'instances': count,
        'cpu_share_each': round(spent_s / count / IDLE_DURATION_S, 5),
        'platform_calls_per_s_each': round(
            call_count / count / IDLE_DURATION_S, 3
        ),
        'resident_mib': round(resident_kib / 1024, 1),
    }


def _count_platform_calls(fleet: ProcessFleet) -> int:
    switches = fetch_json(fleet.platform.address, '/standin/switches', {})
    return sum(switches['calls'].values())


def measure_peer_bytes() -> Figures:
    """Measure the bytes between instances for one streamed request."""
    with process_fleet(ProcessFleetPlan(instances=2, speeds=(20.0,))) as fleet:
        ingress = fleet.instances[1 - fleet.owner_of(CELL)]
        entry = _short_stream()
        curio.run(_async_make_calls, ingress.address, entry)
        text = curio.run(_async_fetch_metrics, ingress.address)
    total = sum(
        float(line.split()[1])
        for line in text.splitlines()
        if line.startswith('hornbeamdeck_peer_bytes_total')
    )
    return {
        'calls': CALL_COUNT,
        'peer_bytes_per_call': round(total / CALL_COUNT),
    }


def _short_stream() -> Any:
    return SHORT_CALL._replace(is_stream=True, output_tokens=4)


async def _async_make_calls(address: Address, entry: Any) -> None:
    for number in range(CALL_COUNT):
        record = await async_call(entry, number, address)
        assert record.is_complete, record


async def _async_fetch_metrics(address: Address) -> str:
    response = await async_fetch_on_new_connection(
        address,
        HttpRequest('GET', '/metrics', '', {}, b''),
        timeout_ms=2000,
    )
    return response.unwrap().body.decode(ENCODING)


def run(json: bool = False) -> None:
    """Run all measurements and print them."""
    figures = {
        'members': measure_membership(),
        'teams': measure_configuration(),
        'decisions': measure_decisions(),
        'placement': measure_placement(),
        'messages': measure_frames(),
        'control': measure_peer_bytes(),
        'idle': measure_idle(),
    }
    _print(figures, as_json=json)


def _print(figures: Figures, *, as_json: bool) -> None:
    if as_json:
        print(json.dumps(figures))
        return
    for name, rows in figures.items():
        for row in rows if isinstance(rows, list) else [rows]:
            print(name, row)


if __name__ == '__main__':
    fire.Fire(run)
