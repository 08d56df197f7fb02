"""Tests with real processes: a kill, a graceful shutdown, invalid settings."""

import json
import pathlib
import signal
import subprocess
import sys

import curio

from bench.processes import ProcessFleetPlan, fetch_json, process_fleet
from hornbeamdeck.demo.client import CallResult
from hornbeamdeck.demo.replay import async_replay_trace
from tests.support import completion_entry

ONE_ENGINE = ProcessFleetPlan(
    speeds=(1.0,), max_running=2, max_prompt_tokens=512
)
WAITING_REQUESTS = 50


def test_killed_owner_process_loses_no_response() -> None:
    """Guards against lost and repeated runs when the owner of a cell dies.

    The owner process is killed while fifty requests wait at the two other
    instances. All fifty callers get their responses, and the engine counts one
    run for each request.
    """
    records: list[CallResult] = []
    with process_fleet(ONE_ENGINE) as fleet:
        owner = fleet.instances[fleet.owner_of('desk')]
        addresses = [
            each.address for each in fleet.instances if each is not owner
        ]
        entry = completion_entry(deadline_ms=30_000, output_tokens=4)

        async def _async_scenario() -> None:
            replay = await curio.spawn(
                async_replay_trace,
                [entry] * WAITING_REQUESTS,
                addresses,
                records.append,
            )
            while not records:
                await curio.sleep(0.005)
            owner.process.kill()
            await replay.join()

        curio.run(_async_scenario)
        runs = fetch_json(fleet.engines[0].address, '/standin/records')['runs']
    assert [record.is_complete for record in records] == [
        True
    ] * WAITING_REQUESTS
    assert sorted(runs) == sorted(record.request_id for record in records)
    assert set(runs.values()) == {1}


def test_sigterm_drains_and_exits_cleanly() -> None:
    """An instance that is replaced while it serves twenty callers finishes all
    their requests and exits with code 0.
    """
    records: list[CallResult] = []
    plan = ONE_ENGINE._replace(instances=2)
    with process_fleet(plan) as fleet:
        draining = fleet.instances[0]
        entry = completion_entry(deadline_ms=30_000, output_tokens=30)

        async def _async_scenario() -> None:
            replay = await curio.spawn(
                async_replay_trace,
                [entry] * 20,
                [draining.address],
                records.append,
            )
            await curio.sleep(0.3)
            draining.process.send_signal(signal.SIGTERM)
            await replay.join()

        curio.run(_async_scenario)
        assert draining.process.wait(timeout=30) == 0
        log_texts = [event['event'] for event in draining.log_events()]
    assert 'instance: planned stop ends' in log_texts
    assert [record.is_complete for record in records] == [True] * 20


def test_invalid_settings_report_file_and_field(tmp_path: pathlib.Path) -> None:
    """The settings have a mistyped address and lack a secret. The process
    reports both errors at once with the path of the file and doesn't start.
    """
    path = tmp_path / 'instance.json'
    path.write_text(
        json.dumps(
            {
                'instance_id': 'i',
                'availability_zone': 'z',
                'address': 'localhost:80',
                'peer_address': '127.0.0.1:0',
                'platform_address': '127.0.0.1:1',
                'operator_token': 'long-enough-to-pass',
            },
        ),
    )
    completed = subprocess.run(
        [sys.executable, '-m', 'hornbeamdeck', 'serve', '--settings', path],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2
    assert f'{path}: address: expected ip:port' in completed.stderr
    assert (
        f'{path}: fleet_secret: required key not provided' in completed.stderr
    )
