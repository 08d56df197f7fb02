"""What the parts of the tree may know of each other."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent / 'hornbeamdeck'
ADAPTER = ROOT / 'platform'
MAX_ADAPTER_LINES = 1200
WIRE_NAMES = re.compile(
    r'hornbeamdeck-(expect|token-counts|prompt-prefix|response-seal'
    r'|not-executed|kv-backup|pin-ms|tenant|hold)'
    r'|api_keys|kv-from|traffic_split|/v1/(objects|resolve|ready|report)',
    re.IGNORECASE,
)


def test_only_the_adapter_knows_the_platforms_names() -> None:
    named = [
        f'{path}: {found.group()}'
        for path in ROOT.rglob('*.py')
        if ADAPTER not in path.parents
        for found in WIRE_NAMES.finditer(path.read_text())
    ]
    assert not named


def test_nothing_of_the_product_needs_the_adapter() -> None:
    needing = [
        str(path)
        for path in ROOT.rglob('*.py')
        if ADAPTER not in path.parents
        and 'hornbeamdeck.platform' in path.read_text()
    ]
    assert not needing


def test_the_adapter_stays_small() -> None:
    lines = sum(
        len(path.read_text().splitlines()) for path in ADAPTER.rglob('*.py')
    )
    assert lines < MAX_ADAPTER_LINES, f'the adapter has {lines} lines'
