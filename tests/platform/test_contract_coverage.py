"""What the adapter decodes is used, and the contract page lists it."""

import pathlib
import re

import pytest

from hornbeamdeck.request.gateway_request import (
    EngineStatement,
    GatewayRequest,
)
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.version.gateway import (
    CallerLimits,
    EngineProperties,
    GatewayTeam,
    Route,
)

ROOT = pathlib.Path(__file__).parent.parent.parent
PACKAGE = ROOT / 'hornbeamdeck'
ADAPTER = PACKAGE / 'platform'
PAGE = (ROOT / 'docs/contract-coverage.md').read_text()
HEADERS = re.findall(
    r"^(HEADER_\w+): Final = '(.+)'$",
    (ADAPTER / 'wire_names.py').read_text(),
    re.MULTILINE,
)


def _sources(folder: pathlib.Path) -> str:
    return '\n'.join(path.read_text() for path in folder.rglob('*.py'))


def test_page_lists_every_header() -> None:
    """Guards against a header that is named in the adapter and forgotten."""
    assert len(HEADERS) > 10
    missing = [header for _, header in HEADERS if f'`{header}`' not in PAGE]
    assert not missing


def test_every_header_is_used() -> None:
    """Guards against a header that has a name but that no code reads."""
    adapter = _sources(ADAPTER)
    # Each is defined once, imported once and used at least once.
    unused = [name for name, _ in HEADERS if len(re.findall(name, adapter)) < 3]
    assert not unused


@pytest.mark.parametrize(
    'decoded',
    [
        GatewayRequest,
        EngineStatement,
        EngineProperties,
        CallerLimits,
        Engine,
        GatewayTeam,
        Route,
    ],
)
def test_every_decoded_field_is_read(decoded: type) -> None:
    """Guards against a statement of the users that reaches no decision."""
    product = '\n'.join(
        path.read_text()
        for path in PACKAGE.rglob('*.py')
        if ADAPTER not in path.parents
    )
    unread = {
        field
        for field in decoded._fields  # type: ignore[attr-defined]
        if not re.search(rf'\.{field}\b', product)
    }
    assert not unread
