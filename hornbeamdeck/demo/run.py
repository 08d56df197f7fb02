"""The demo: both traces replayed on an embedded fleet, outcomes checked."""

import json
from collections.abc import Callable
from typing import Final, NamedTuple

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import async_fetch_once
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.const import ENCODING
from hornbeamdeck.demo.caller import CallRecord
from hornbeamdeck.demo.document import team_key
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.demo.replay import async_replay
from hornbeamdeck.demo.report import (
    TierRow,
    failed_outcomes,
    format_table,
    tier_rows,
)
from hornbeamdeck.demo.trace import load_trace

__all__ = ('DemoReport', 'async_demo')

TRACES: Final = ('kerbriant', 'lusitania')
PROGRESS_EVERY: Final = 50
CONNECT_TIMEOUT_MS: Final = 2000

Say = Callable[[str], None]


class DemoReport(NamedTuple):
    """What the demo showed.

    :param failed: the stated outcomes that were not met.
    """

    rows_by_trace: dict[str, list[TierRow]]
    failed: list[str]

    def to_json(self) -> str:
        """Write one JSON object."""
        traces = {
            name: [row._asdict() for row in rows]
            for name, rows in self.rows_by_trace.items()
        }
        return json.dumps({'traces': traces, 'failed': self.failed})


async def async_demo(say: Say) -> DemoReport:
    """Run the demo.

    :param say: prints progress and tables.
    """
    fleet = await Fleet.async_start(FleetPlan())
    say(f'{len(fleet.instances)} instances, {len(fleet.engines)} engines')
    rows_by_trace: dict[str, list[TierRow]] = {}
    failed: list[str] = []
    for name in TRACES:
        records = await _async_replay_one(fleet, name, say)
        rows_by_trace[name] = tier_rows(records)
        say(format_table(rows_by_trace[name]))
        failed += failed_outcomes(
            records,
            fleet.runs_by_request(),
            fleet.booking.runs,
        )
    await fleet.async_stop()
    return DemoReport(rows_by_trace, failed)


async def async_entries(address: Address, team: str) -> list[Address]:
    """Ask an instance which addresses a caller is to use."""
    headers = {'authorization': f'Bearer {team_key(team)}'}
    got = await async_fetch_once(
        address,
        HttpRequest('GET', '/v1/entries', '', headers, b''),
        timeout_ms=CONNECT_TIMEOUT_MS,
    )
    answer = json.loads(got.unwrap().body.decode(ENCODING))
    return [Address.from_text(each['address']) for each in answer['entries']]


async def _async_replay_one(
    fleet: Fleet,
    name: str,
    say: Say,
) -> list[CallRecord]:
    trace = load_trace(name)
    addresses = await async_entries(
        fleet.instances[0].own.address,
        trace[0].team,
    )
    records: list[CallRecord] = []

    def _note(record: CallRecord) -> None:
        records.append(record)
        if not len(records) % PROGRESS_EVERY:
            say(f'{name}: {len(records)} of {len(trace)} calls answered')

    say(f'{name}: {len(trace)} calls')
    await async_replay(trace, addresses, _note)
    return records
