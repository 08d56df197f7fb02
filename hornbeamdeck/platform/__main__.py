"""Starts a gateway process on the users' platform."""

import os
import sys
from typing import Final

import curio
from result import Err

from hornbeamdeck.platform.dialect import DIALECT
from hornbeamdeck.platform.documents import parse_configuration
from hornbeamdeck.platform.pages import entries_page
from hornbeamdeck.platform.store import open_store
from hornbeamdeck.process.front_parts import FrontWires
from hornbeamdeck.process.serve_front import (
    async_serve_front,
    load_front_settings,
)

SETTINGS_VARIABLE: Final = 'HORNBEAMDECK_NODE_FILE'
EXIT_USAGE: Final = 2

WIRES: Final = FrontWires(
    open_store=open_store,
    dialect=DIALECT,
    parse=parse_configuration,
    entries_page=entries_page,
)


def main() -> None:
    """Run a gateway with the settings file that the platform has written."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    loaded = load_front_settings(path)
    if isinstance(loaded, Err):
        for error in loaded.err_value:
            print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    curio.run(async_serve_front, path, loaded.ok_value, WIRES)


if __name__ == '__main__':
    main()
