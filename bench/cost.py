"""Measures the latency that an instance adds, its throughput and CPU time.

python -m bench.cost latency --json
python -m bench.cost throughput --json
"""

import json
import statistics
import subprocess
import sys
from typing import Any, Final

import curio
import fire

from bench.processes import ProcessFleet, ProcessFleetPlan, process_fleet
from bench.server_process import ServerProcess
from bench.worker import SHORT_CALL
from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.address import Address
from hornbeamdeck.demo.client import async_call
from hornbeamdeck.demo.report import P50, P95, percentile
from hornbeamdeck.demo.trace import TraceEntry

FAST_FLEET: Final = ProcessFleetPlan(speeds=(50.0, 50.0, 50.0), max_running=64)
WORKER_COUNT: Final = 3
DECIMALS: Final = 2


def latency(pairs: int = 400, json: bool = False) -> None:
    """Call an engine alternately directly and through an instance.

    The called instance does not own the cell, so that each call gets its grant
    from another process.
    """
    with process_fleet(FAST_FLEET) as fleet:
        ingress = _pick_ingress(fleet)
        direct, through = curio.run(
            _async_measure_pairs,
            fleet.engines[0].address,
            ingress.address,
            pairs,
        )
    added = [
        through_ms - direct_ms
        for direct_ms, through_ms in zip(direct, through, strict=True)
    ]
    _print(
        {
            'pairs': pairs,
            'direct_p50_ms': _round(percentile(sorted(direct), P50)),
            'through_p50_ms': _round(percentile(sorted(through), P50)),
            'added_p50_ms': _round(statistics.median(added)),
            'added_p95_ms': _round(percentile(sorted(added), P95)),
        },
        as_json=json,
    )


def throughput(
    seconds: float = 8,
    callers: int = 8,
    json: bool = False,
) -> None:
    """Load one instance from several processes and measure its CPU time.

    :param callers: concurrent callers in each worker process.
    """
    with process_fleet(FAST_FLEET) as fleet:
        ingress = _pick_ingress(fleet)
        owner = fleet.instances[fleet.owner_of('desk')]
        before_s = ingress.cpu_s(), owner.cpu_s()
        calls = _run_workers(ingress.address, seconds, callers)
        ingress_s = ingress.cpu_s() - before_s[0]
        owner_s = owner.cpu_s() - before_s[1]
        resident_kib = ingress.resident_kib()
    _print(
        {
            'calls': calls,
            'calls_per_s': _round(calls / seconds),
            'ingress_cpu_ms_per_call': _round(ingress_s * 1000 / calls),
            'owner_cpu_ms_per_call': _round(owner_s * 1000 / calls),
            'ingress_core_share': _round(ingress_s / seconds),
            'ingress_resident_mib': _round(resident_kib / 1024),
        },
        as_json=json,
    )


def stream(calls: int = 60, tokens: int = 200, json: bool = False) -> None:
    """Measure the CPU time of one instance for each streamed token."""
    entry = SHORT_CALL._replace(is_stream=True, output_tokens=tokens)
    with process_fleet(FAST_FLEET) as fleet:
        ingress = _pick_ingress(fleet)
        before_s = ingress.cpu_s()
        curio.run(_async_make_calls, entry, ingress.address, calls)
        spent_s = ingress.cpu_s() - before_s
    _print(
        {
            'calls': calls,
            'tokens_each': tokens,
            'cpu_us_per_token': _round(spent_s * 1_000_000 / calls / tokens),
        },
        as_json=json,
    )


async def _async_make_calls(
    entry: TraceEntry,
    address: Address,
    calls: int,
) -> None:
    for number in range(calls):
        record = await async_call(entry, number, address)
        assert record.is_complete, record


def _pick_ingress(fleet: ProcessFleet) -> ServerProcess:
    owner = fleet.owner_of('desk')
    return fleet.instances[(owner + 1) % len(fleet.instances)]


async def _async_measure_pairs(
    engine: Address,
    instance: Address,
    pairs: int,
) -> tuple[list[float], list[float]]:
    direct: list[float] = []
    through: list[float] = []
    for number in range(pairs):
        for address, times in ((engine, direct), (instance, through)):
            begin_ms = now_ms()
            record = await async_call(SHORT_CALL, number, address)
            assert record.is_complete, record
            times.append(now_ms() - begin_ms)
    return direct, through


def _run_workers(address: Address, seconds: float, callers: int) -> int:
    command = [
        sys.executable,
        '-m',
        'bench.worker',
        str(address),
        f'--seconds={seconds}',
        f'--callers={callers}',
    ]
    workers = [
        subprocess.Popen(command, stdout=subprocess.PIPE)
        for _ in range(WORKER_COUNT)
    ]
    outputs = [worker.communicate()[0] for worker in workers]
    return sum(json.loads(output)['calls'] for output in outputs)


def _round(figure: float) -> float:
    return round(figure, DECIMALS)


def _print(figures: dict[str, Any], *, as_json: bool) -> None:
    if as_json:
        print(json.dumps(figures))
        return
    for name, figure in figures.items():
        print(f'{name:28} {figure}')


if __name__ == '__main__':
    fire.Fire({'latency': latency, 'stream': stream, 'throughput': throughput})
