"""The example programs and files that the documentation shows."""

import pathlib
import subprocess
import sys

import pytest

from hornbeamdeck.process.settings import load_settings
from hornbeamdeck.version.configuration import parse_document

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
EXPECTED_OUTPUTS = {
    'claim.py': 'receipt 1 after 1 payment\n' * 2,
    'lease.py': (
        'first holds True\n'
        'first holds False - second holds True\n'
        'token grew True\n'
    ),
    'ownership.py': (
        'moved only what it owned True\n'
        'each to its second True\n'
        'effect after cause True\n'
    ),
}


@pytest.mark.parametrize('name', sorted(EXPECTED_OUTPUTS))
def test_example_prints_the_documented_output(name: str) -> None:
    completed = subprocess.run(
        [sys.executable, EXAMPLES / name],
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout == EXPECTED_OUTPUTS[name]


def test_every_example_is_run() -> None:
    assert {each.name for each in EXAMPLES.glob('*.py')} == set(
        EXPECTED_OUTPUTS
    )


def test_coordination_does_not_import_the_daemon() -> None:
    """Guards against a program that embeds only the lease but imports the whole
    daemon with it: its modules, names and memory use.
    """
    code = (
        'import sys, hornbeamdeck.coordination as c\n'
        'assert all(hasattr(c, name) for name in c.__all__)\n'
        'print([m for m in sys.modules if m in (\n'
        '"hornbeamdeck.process.instance", "hornbeamdeck.cli",\n'
        '"hornbeamdeck.ownership.scheduler")])'
    )
    completed = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout == '[]\n'


def test_example_files_are_valid() -> None:
    """The README uses these files; they must be accepted unchanged."""
    assert load_settings(str(EXAMPLES / 'instance.json')).is_ok()
    document = (EXAMPLES / 'configuration.json').read_text()
    configuration = parse_document(document, version=1).unwrap()
    assert configuration.team_of_key('key-of-guides') is not None
