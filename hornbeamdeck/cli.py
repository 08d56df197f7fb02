"""The command line."""

import json as json_codec
import sys
from collections.abc import Iterable
from typing import Any, Final

import curio
import fire
from result import Err

from hornbeamdeck.demo.run import async_demo
from hornbeamdeck.explain import (
    LogLines,
    describe_lines,
    explain_all,
    make_report,
    read_lines,
)
from hornbeamdeck.observability.logs import setup_logs
from hornbeamdeck.process.gateway_settings import GatewaySettings
from hornbeamdeck.process.serve import async_serve
from hornbeamdeck.process.settings import (
    Settings,
    load_settings,
    load_settings_file,
)
from hornbeamdeck.standin.commands import async_run_standin

__all__ = ('main',)

EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2


def serve(settings: str) -> None:
    """Run an instance until SIGTERM, then drain and exit.

    Example: hornbeamdeck serve --settings instance.json

    :param settings: path of the settings file (JSON).
    """
    loaded = load_settings(settings)
    if isinstance(loaded, Err):
        for error in loaded.err_value:
            print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    checked_settings = loaded.ok_value
    setup_logs(
        level=checked_settings.log_level,
        instance_id=checked_settings.instance_id,
    )
    sys.exit(EXIT_FAILED if curio.run(async_serve, checked_settings) else 0)


def check_settings(path: str) -> None:
    """Check the settings file of an instance or of a gateway process.

    Example: hornbeamdeck check-settings instance.json

    :param path: path of the settings file (JSON).
    """
    checked = load_settings_file(path, _parse_settings)
    if isinstance(checked, Err):
        for error in checked.err_value:
            print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    print(f'{path}: {checked.ok_value.instance_id}: no errors')


def _parse_settings(raw: dict[str, Any]) -> Settings | GatewaySettings:
    if 'entries_address' in raw:
        return GatewaySettings.from_config(raw)
    return Settings.from_config(raw)


def demo(json: bool = False) -> None:
    """Replay two recorded traces on an embedded fleet and check the outcomes.

    Example: hornbeamdeck demo --json

    :param json: print only one JSON object.
    """
    setup_logs(level='error', instance_id='demo')
    print_line = _print_nothing if json else _print_line
    report = curio.run(async_demo, print_line)
    if json:
        print(report.to_json())
    for failure in report.failed:
        print(f'failed: {failure}', file=sys.stderr)
    if report.failed:
        sys.exit(EXIT_FAILED)
    print_line('every stated outcome was met')


def standin(kind: str, address: str = '127.0.0.1:0', speed: float = 1) -> None:
    """Run a simulated platform, engine or booking service for trials.

    Example: hornbeamdeck standin engine --speed 0.5

    :param kind: platform, engine or booking.
    :param address: ip:port to listen on; with port 0 the OS assigns a port.
    :param speed: speed factor of an engine.
    """
    setup_logs(level='info', instance_id=f'standin-{kind}')
    started = curio.run(async_run_standin, kind, address, float(speed))
    if isinstance(started, Err):
        print(started.err_value, file=sys.stderr)
        sys.exit(EXIT_USAGE)


def explain(
    log: str = '-',
    request_id: str = '',
    json: bool = False,
) -> None:
    """Explain the outcomes of requests and their causes from log lines.

    Example: hornbeamdeck explain fleet.log --request-id 5320b20f59ea9d22

    :param log: path of a file with the log lines of all instances; - reads
        standard input.
    :param request_id: print only the events of this request.
    :param json: print only one JSON object.
    """
    logs = _read_log(log)
    if request_id:
        request_lines = logs.by_request.get(str(request_id))
        if request_lines is None:
            print(f'{log}: no line of {request_id}', file=sys.stderr)
            sys.exit(EXIT_FAILED)
        output: Iterable[str] = describe_lines(request_lines)
        if json:
            output = [json_codec.dumps(request_lines)]
    else:
        report = make_report(logs, explain_all(logs))
        output = report.to_text()
        if json:
            output = [json_codec.dumps(report.to_dict())]
    for line in output:
        print(line)


def _read_log(path: str) -> LogLines:
    if path == '-':
        return read_lines(sys.stdin)
    try:
        with open(path, encoding='utf-8', errors='replace') as log:
            return read_lines(log)
    except OSError as error:
        print(f'{path}: {error.strerror}', file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _print_line(line: str) -> None:
    print(line, flush=True)


def _print_nothing(_line: str) -> None:
    """Discard a line."""


def main() -> None:
    """Run the command given by the command line arguments."""
    fire.Fire(
        {
            'serve': serve,
            'check-settings': check_settings,
            'demo': demo,
            'explain': explain,
            'standin': standin,
        },
        name='hornbeamdeck',
    )
