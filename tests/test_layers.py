"""Tests of the dependencies between the packages."""

import ast
import pathlib
import re
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parent.parent / 'hornbeamdeck'
ADAPTER = ROOT / 'platform'
SCHEDULING = ROOT / 'scheduling'
MAX_ADAPTER_LINES = 1200
# Modules that the scheduling package may import.
SCHEDULING_IMPORTS = (
    'bisect',
    'collections',
    'enum',
    'functools',
    'heapq',
    'itertools',
    'hornbeamdeck.const',
    'hornbeamdeck.scheduling',
    'hornbeamdeck.version',
    'hornbeamdeck.wire',
    'math',
    'types',
    'typing',
)
PLATFORM_NAMES = re.compile(
    r'hornbeamdeck-(expect|token-counts|prompt-prefix|response-seal'
    r'|not-executed|kv-backup|pin-ms|tenant|hold)'
    r'|api_keys|kv-from|traffic_split|/v1/(objects|resolve|ready|report)',
    re.IGNORECASE,
)


def test_only_adapter_contains_platform_names() -> None:
    matches = [
        f'{path}: {match.group()}'
        for path in ROOT.rglob('*.py')
        if ADAPTER not in path.parents
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert not matches


def test_product_does_not_import_adapter() -> None:
    importers = [
        str(path)
        for path in ROOT.rglob('*.py')
        if ADAPTER not in path.parents
        and 'hornbeamdeck.platform' in path.read_text()
    ]
    assert not importers


def test_adapter_stays_below_line_limit() -> None:
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
    """Scheduling code that does I/O or reads a clock couldn't be tested with a
    simulated time.
    """
    forbidden = [
        f'{path}: {module}'
        for path in SCHEDULING.rglob('*.py')
        for module in _imports(path)
        if not _is_in(module, SCHEDULING_IMPORTS)
    ]
    assert not forbidden
