"""Real processes: killed, told to stop, given wrong settings."""

import json
import pathlib
import signal
import subprocess
import sys

import curio

from bench.processes import Plan, ask, process_fleet
from hornbeamdeck.demo.caller import CallRecord
from hornbeamdeck.demo.replay import async_replay
from tests.support import desk_entry

ONE_SLOW = Plan(speeds=(1.0,), max_running=2, max_prompt_tokens=512)
WAITING = 50


def test_killed_owner_process_costs_no_answer() -> None:
    """The process that owns the cell is killed by the system while fifty
    requests wait at the two others. All fifty callers get their answers, and
    the engine itself has counted one run for each.
    """
    records: list[CallRecord] = []
    with process_fleet(ONE_SLOW) as fleet:
        owner = fleet.instances[fleet.owner_of('desk')]
        addresses = [
            each.address for each in fleet.instances if each is not owner
        ]
        entry = desk_entry(deadline_ms=30_000, output_tokens=4)

        async def _async_scenario() -> None:
            replay = await curio.spawn(
                async_replay,
                [entry] * WAITING,
                addresses,
                records.append,
            )
            while not records:
                await curio.sleep(0.005)
            owner.process.kill()
            await replay.join()

        curio.run(_async_scenario)
        runs = ask(fleet.engines[0].address, '/standin/records')['runs']
    assert [record.is_whole for record in records] == [True] * WAITING
    assert sorted(runs) == sorted(record.request_id for record in records)
    assert set(runs.values()) == {1}


def test_sigterm_drains_and_exits_cleanly() -> None:
    """An instance is replaced while it answers twenty callers. It finishes
    all of them and exits with 0.
    """
    records: list[CallRecord] = []
    plan = ONE_SLOW._replace(instances=2)
    with process_fleet(plan) as fleet:
        leaving = fleet.instances[0]
        entry = desk_entry(deadline_ms=30_000, output_tokens=30)

        async def _async_scenario() -> None:
            replay = await curio.spawn(
                async_replay,
                [entry] * 20,
                [leaving.address],
                records.append,
            )
            await curio.sleep(0.3)
            leaving.process.send_signal(signal.SIGTERM)
            await replay.join()

        curio.run(_async_scenario)
        assert leaving.process.wait(timeout=30) == 0
        logged = [event['event'] for event in leaving.log_events()]
    assert 'instance: planned stop ends' in logged
    assert [record.is_whole for record in records] == [True] * 20


def test_wrong_settings_name_file_and_field(tmp_path: pathlib.Path) -> None:
    """An operator mistypes an address and leaves a secret out. Both are named
    at once, with the file they are in, and the process does not start.
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
    ended = subprocess.run(
        [sys.executable, '-m', 'hornbeamdeck', 'serve', '--settings', path],
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 2
    assert f'{path}: address: expected ip:port' in ended.stderr
    assert f'{path}: fleet_secret: required key not provided' in ended.stderr
