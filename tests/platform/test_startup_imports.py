"""Tests of the startup cost of a gateway process."""

import subprocess
import sys

# Needed when metrics are read, on the command line or for hornbeamdeck's own
# HTTP interface, but not to start a process on the platform.
NOT_IMPORTED_AT_STARTUP = (
    'fire',
    'http.server',
    'jinja2',
    'email.utils',
    'prometheus_client',
    'hornbeamdeck.cli',
    'hornbeamdeck.demo',
    'hornbeamdeck.explain',
    'hornbeamdeck.observability.gateway_metrics_export',
    'hornbeamdeck.process.instance',
    'hornbeamdeck.standin',
)
LIST_MODULES = 'import hornbeamdeck.platform.__main__, sys; print(*sys.modules)'


def test_startup_imports_only_required_modules() -> None:
    """Guards against slow restarts after the loss of all instances."""
    completed = subprocess.run(
        (sys.executable, '-c', LIST_MODULES),
        capture_output=True,
        check=True,
        text=True,
    )
    imported = set(completed.stdout.split())
    assert 'hornbeamdeck.process.gateway' in imported
    assert not imported.intersection(NOT_IMPORTED_AT_STARTUP)
