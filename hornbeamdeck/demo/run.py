"""Demo: replays two traces on an embedded fleet and checks the outcomes."""

import json
from collections.abc import Callable
from typing import Final, NamedTuple

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import async_fetch_on_new_connection
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.const import ENCODING
from hornbeamdeck.demo.client import CallResult
from hornbeamdeck.demo.configuration import team_key
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.demo.replay import async_replay_trace
from hornbeamdeck.demo.report import (
    TierRow,
    format_table,
    summarize_by_tier,
    unmet_outcomes,
)
from hornbeamdeck.demo.trace import load_trace

__all__ = ('DemoReport', 'async_demo')

TRACE_NAMES: Final = ('kerbriant', 'lusitania')
PROGRESS_INTERVAL_CALLS: Final = 50
CONNECT_TIMEOUT_MS: Final = 2000

PrintLine = Callable[[str], None]


class DemoReport(NamedTuple):
    """Results of the demo.

    :param rows_by_trace: results by tier of each trace.
    :param failed: the stated outcomes that were not met.
    """

    rows_by_trace: dict[str, list[TierRow]]
    failed: list[str]

    def to_json(self) -> str:
        """Encode the report as a JSON object."""
        traces = {
            name: [row._asdict() for row in rows]
            for name, rows in self.rows_by_trace.items()
        }
        return json.dumps({'traces': traces, 'failed': self.failed})


async def async_demo(print_line: PrintLine) -> DemoReport:
    """Run the demo.

    :param print_line: called with each progress line and table.
    """
    fleet = await Fleet.async_start(FleetPlan())
    print_line(
        f'{len(fleet.instances)} instances, {len(fleet.engines)} engines'
    )
    rows_by_trace: dict[str, list[TierRow]] = {}
    failed: list[str] = []
    for name in TRACE_NAMES:
        records = await _async_replay_named(fleet, name, print_line)
        rows_by_trace[name] = summarize_by_tier(records)
        print_line(format_table(rows_by_trace[name]))
        failed += unmet_outcomes(
            records,
            fleet.runs_by_request(),
            fleet.booking_service.runs,
        )
    await fleet.async_stop()
    return DemoReport(rows_by_trace, failed)


async def async_fetch_entries(address: Address, team: str) -> list[Address]:
    """Fetch from an instance the addresses that callers should use."""
    headers = {'authorization': f'Bearer {team_key(team)}'}
    response = await async_fetch_on_new_connection(
        address,
        HttpRequest('GET', '/v1/entries', '', headers, b''),
        timeout_ms=CONNECT_TIMEOUT_MS,
    )
    listing = json.loads(response.unwrap().body.decode(ENCODING))
    return [Address.from_text(each['address']) for each in listing['entries']]


async def _async_replay_named(
    fleet: Fleet,
    name: str,
    print_line: PrintLine,
) -> list[CallResult]:
    trace = load_trace(name)
    addresses = await async_fetch_entries(
        fleet.instances[0].own.address,
        trace[0].team,
    )
    records: list[CallResult] = []

    def _record_call(record: CallResult) -> None:
        records.append(record)
        if not len(records) % PROGRESS_INTERVAL_CALLS:
            print_line(f'{name}: {len(records)} of {len(trace)} calls answered')

    print_line(f'{name}: {len(trace)} calls')
    await async_replay_trace(trace, addresses, _record_call)
    return records
