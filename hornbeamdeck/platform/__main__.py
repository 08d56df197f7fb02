"""Starts a gateway process on the users' platform."""

import os
import sys
from typing import Final

import curio
from result import Err

from hornbeamdeck.platform.dialect import DIALECT
from hornbeamdeck.platform.documents import parse_configuration
from hornbeamdeck.platform.entries_endpoint import handle_entries_request
from hornbeamdeck.platform.rollout_store import open_rollout_store
from hornbeamdeck.platform.store import open_store
from hornbeamdeck.platform.wire_names import HEADER_STORE_ERA
from hornbeamdeck.process.platform_adapter import PlatformAdapter
from hornbeamdeck.process.serve_gateway import (
    async_serve_gateway,
    load_gateway_settings,
)

SETTINGS_VARIABLE: Final = 'HORNBEAMDECK_NODE_FILE'
EXIT_USAGE: Final = 2

PLATFORM_ADAPTER: Final = PlatformAdapter(
    era_header=HEADER_STORE_ERA,
    open_store=open_store,
    open_rollout_store=open_rollout_store,
    dialect=DIALECT,
    report_path='/v1/report',
    born_field='born',
    parse_configuration=parse_configuration,
    handle_entries_request=handle_entries_request,
)


def main() -> None:
    """Run a gateway with the settings file that the platform has written."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    loaded = load_gateway_settings(path)
    if isinstance(loaded, Err):
        for error in loaded.err_value:
            print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    curio.run(async_serve_gateway, path, loaded.ok_value, PLATFORM_ADAPTER)


if __name__ == '__main__':
    main()
