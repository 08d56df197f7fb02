"""Slopes for docs/CAPACITY.md: `python -m bench.capacity --json`."""

import gc
import hashlib
import json
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any, Final

import curio
import fire

from bench.processes import Plan, ProcessFleet, ask, process_fleet
from bench.worker import SHORT
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import async_fetch_once
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.platform import StoredObject
from hornbeamdeck.const import ENCODING, PREFIX_INSTANCE
from hornbeamdeck.demo.caller import async_call
from hornbeamdeck.demo.document import make_document
from hornbeamdeck.process.membership import (
    STATE_LIVE,
    InstanceStatus,
    Membership,
)
from hornbeamdeck.scheduling.cell import Cell
from hornbeamdeck.version.configuration import Configuration, parse_document
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

MEMBERS: Final = (13, 130, 390)
TEAMS: Final = (1000, 10_000, 33_000)
WAITING: Final = (10, 100, 1000)
UPSTREAMS: Final = (4, 12, 36)
FLEETS: Final = (2, 4, 8)
ROUNDS: Final = 2000
IDLE_S: Final = 10.0
CALLS: Final = 200
CELL: Final = 'desk'
ID_CHARS: Final = 32
FINGERPRINT_CHARS: Final = 16
EXTRA: Final = range(1_000_000, 1_000_500)

Figures = dict[str, Any]


def _micros(work: Callable[[], object], rounds: int) -> float:
    begin = time.perf_counter()
    for _ in range(rounds):
        work()
    return round((time.perf_counter() - begin) * 1_000_000 / rounds, 1)


def _grown_bytes(make: Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    kept = [make()]
    gc.collect()
    grown, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept.clear()
    return grown


def members() -> list[Figures]:
    """Measure finding an owner and the state held, by live instances."""
    return [_members(count) for count in MEMBERS]


def _members(count: int) -> Figures:
    membership = _membership(count)
    return {
        'instances': count,
        'owner_of_us': _micros(lambda: membership.owner_of(CELL), ROUNDS // 10),
        'state_bytes': _grown_bytes(lambda: _membership(count)),
    }


def _membership(count: int) -> Membership:
    address = Address('127.0.0.1', 1)
    own = InstanceStatus('i0', address, address, 'z', 'x', STATE_LIVE)
    membership = Membership(own)
    for number in range(1, count):
        status = own._replace(instance_id=f'i{number}', incarnation='y' * 32)
        key = f'{PREFIX_INSTANCE}{status.instance_id}'
        membership.note_status(StoredObject(key, number, status.to_text()))
    return membership


def teams() -> list[Figures]:
    """Measure the document and its adoption, by teams."""
    return [_teams(count) for count in TEAMS]


def _document(count: int) -> str:
    address = Address('127.0.0.1', 1)
    raw = make_document([address], [], max_running=1, max_prompt_tokens=1)
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


def _teams(count: int) -> Figures:
    document = _document(count)

    def _parse() -> Configuration:
        return parse_document(document, version=1).unwrap()

    return {
        'teams': count,
        'document_bytes': len(document),
        'adopt_ms': round(_micros(_parse, 2) / 1000, 1),
        'state_bytes': _grown_bytes(_parse),
    }


async def _async_nowhere(_message: Message) -> None:
    """Deliver to nobody."""


def _request(number: int) -> Enqueue:
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


def _cell(upstreams: int) -> Cell:
    raw = make_document(
        [Address('127.0.0.1', 1000 + each) for each in range(upstreams)],
        [],
        max_running=4,
        max_prompt_tokens=8192,
    )
    parsed = parse_document(json.dumps(raw), version=1).unwrap()
    cell = Cell()
    cell.adopt(parsed.upstreams_of(CELL), weights={}, top_rank=0)
    return cell


def _offer(cell: Cell, number: int) -> None:
    cell.offer(_request(number), sender='s', deliver=_async_nowhere, now=0)


def _offer_many(cell: Cell) -> None:
    for number in EXTRA:
        _offer(cell, number)


def _granted(cell: Cell) -> list[str]:
    return [each.ticket.request.request_id for each in cell.grants(0)]


def decisions() -> list[Figures]:
    """Measure a request's way through a cell, by waiting ones."""
    return [
        _decisions(waiting, upstreams)
        for waiting, upstreams in (
            *((waiting, UPSTREAMS[0]) for waiting in WAITING),
            *((WAITING[1], upstreams) for upstreams in UPSTREAMS[1:]),
        )
    ]


def _decisions(waiting: int, upstreams: int) -> Figures:
    cell = _cell(upstreams)
    for number in range(waiting + 4 * upstreams):
        _offer(cell, number)
    running = _granted(cell)
    state = _grown_bytes(partial(_offer_many, cell))
    for number in EXTRA:
        cell.withdraw(f'{number:032x}')
    numbers = iter(range(10**7, 10**8))

    def _one_request() -> None:
        ended = running.pop(0)
        cell.progress(
            Progress(request_id=ended, cell=CELL, first_token_ms=50),
            now=0,
        )
        cell.release(
            Release(
                request_id=ended,
                cell=CELL,
                end=RunEnd.ANSWERED,
                total_ms=500,
            ),
            now=0,
        )
        _offer(cell, next(numbers))
        running.extend(
            each.ticket.request.request_id for each in cell.grants(0)
        )

    return {
        'waiting': waiting,
        'upstreams': upstreams,
        'request_us': _micros(_one_request, ROUNDS),
        'waiting_bytes': state // len(EXTRA),
    }


def messages() -> Figures:
    """Measure the frames of one request."""
    request_id = 'f' * ID_CHARS
    frames: dict[str, Message] = {
        'enqueue': _request(1),
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


def idle() -> list[Figures]:
    """Measure what an instance spends while nobody calls, by fleet size."""
    return [_idle(count) for count in FLEETS]


def _idle(count: int) -> Figures:
    with process_fleet(Plan(instances=count, speeds=(1.0,))) as fleet:
        time.sleep(2)
        calls = _platform_calls(fleet)
        cpu_s = sum(each.cpu_s() for each in fleet.instances)
        time.sleep(IDLE_S)
        spent_s = sum(each.cpu_s() for each in fleet.instances) - cpu_s
        called = _platform_calls(fleet) - calls
        resident = max(each.resident_kib() for each in fleet.instances)
    return {
        'instances': count,
        'cpu_share_each': round(spent_s / count / IDLE_S, 5),
        'platform_calls_per_s_each': round(called / count / IDLE_S, 3),
        'resident_mib': round(resident / 1024, 1),
    }


def _platform_calls(fleet: ProcessFleet) -> int:
    answer = ask(fleet.platform.address, '/standin/switches', {})
    return sum(answer['calls'].values())


def control() -> Figures:
    """Measure the bytes between instances for one streamed request."""
    with process_fleet(Plan(instances=2, speeds=(20.0,))) as fleet:
        asked = fleet.instances[1 - fleet.owner_of(CELL)]
        entry = _short_stream()
        curio.run(_async_calls, asked.address, entry)
        text = curio.run(_async_metrics, asked.address)
    total = sum(
        float(line.split()[1])
        for line in text.splitlines()
        if line.startswith('hornbeamdeck_peer_bytes_total')
    )
    return {'calls': CALLS, 'peer_bytes_per_call': round(total / CALLS)}


def _short_stream() -> Any:
    return SHORT._replace(is_stream=True, output_tokens=4)


async def _async_calls(address: Address, entry: Any) -> None:
    for number in range(CALLS):
        record = await async_call(entry, number, address)
        assert record.is_whole, record


async def _async_metrics(address: Address) -> str:
    got = await async_fetch_once(
        address,
        HttpRequest('GET', '/metrics', '', {}, b''),
        timeout_ms=2000,
    )
    return got.unwrap().body.decode(ENCODING)


def run(json: bool = False) -> None:
    """Measure all slopes."""
    figures = {
        'members': members(),
        'teams': teams(),
        'decisions': decisions(),
        'messages': messages(),
        'control': control(),
        'idle': idle(),
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
