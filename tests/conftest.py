"""Settings for all tests, so that every run gives the same result.

Hypothesis always generates the same examples. Tests listed in KNOWN-RED.txt
are skipped and their line is shown as the reason. Each line there begins with
the id of a test.
"""

import pathlib

import pytest
from hypothesis import HealthCheck, settings

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'

settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('fixed')


def _known_red_by_test_id() -> dict[str, str]:
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return {line.split()[0].rstrip(':'): line for line in entries}


def pytest_itemcollected(item: pytest.Item) -> None:  # noqa: WPS110
    """Skip exactly the tests that KNOWN-RED.txt lists."""
    reason = _known_red_by_test_id().get(item.nodeid)
    if reason is not None:
        item.add_marker(pytest.mark.skip(reason=reason))
