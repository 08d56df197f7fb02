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
# Packages of the project that a package without a process may import. What
# lives as long as the process can then change without them.
LOWER_PACKAGES = {
    'connection': ('clock', 'const', 'hybrid_clock', 'wire'),
    'memory': ('clock', 'connection', 'const'),
    'scheduling': ('const', 'version', 'wire'),
    'version': ('connection', 'const'),
    'wire': (),
}
# Packages that only the process itself, commands and adapters may import.
UPPER_PACKAGES = ('coordination', 'demo', 'explain', 'platform', 'standin')
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


def _imported_packages(package: str) -> Iterator[str]:
    """Yield the other packages of the project that a package imports."""
    for path in (ROOT / package).rglob('*.py'):
        for module in _imports(path):
            name, _, rest = module.partition('.')
            imported = rest.partition('.')[0]
            if name == ROOT.name and imported not in {'', package}:
                yield imported


def test_packages_without_a_process_import_none_that_lives_as_long() -> None:
    """Guards against connections or decisions that depend on the process."""
    forbidden = {
        package: set(_imported_packages(package)) - set(lower)
        for package, lower in LOWER_PACKAGES.items()
    }
    assert not any(forbidden.values()), forbidden


def test_no_component_imports_commands_or_adapters() -> None:
    """Guards against a running process that needs a stand-in or the demo."""
    packages = (
        'engines',
        'membership',
        'observability',
        'ownership',
        'process',
        'request',
        'rollout',
        'store',
    )
    forbidden = {
        package: set(_imported_packages(package)) & set(UPPER_PACKAGES)
        for package in packages
    }
    assert not any(forbidden.values()), forbidden
