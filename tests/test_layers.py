"""What the parts of the tree may know of each other."""

import ast
import pathlib
import re
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parent.parent / 'hornbeamdeck'
ADAPTER = ROOT / 'platform'
SCHEDULING = ROOT / 'scheduling'
MAX_ADAPTER_LINES = 1200
# Modules that the scheduling package may import. engine_directory is included
# because it defines Engine.
SCHEDULING_IMPORTS = (
    'collections',
    'enum',
    'heapq',
    'itertools',
    'hornbeamdeck.const',
    'hornbeamdeck.process.engine_directory',
    'hornbeamdeck.scheduling',
    'hornbeamdeck.version',
    'hornbeamdeck.wire',
    'math',
    'types',
    'typing',
)
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


def _imports(path: pathlib.Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom):
            yield str(node.module)


def _is_in(module: str, packages: tuple[str, ...]) -> bool:
    return any(f'{module}.'.startswith(f'{package}.') for package in packages)


def test_scheduling_imports_no_io_modules() -> None:
    """Guards against scheduling code that can't be tested with a given time."""
    forbidden = [
        f'{path}: {module}'
        for path in SCHEDULING.rglob('*.py')
        for module in _imports(path)
        if not _is_in(module, SCHEDULING_IMPORTS)
    ]
    assert not forbidden
