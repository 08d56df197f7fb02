"""What adapts a gateway process to its platform."""

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from result import Result

from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.store_calls import StoreCalls
from hornbeamdeck.membership.membership import InstanceStatus
from hornbeamdeck.request.gateway_request import Dialect
from hornbeamdeck.rollout.store_interface import RolloutStore
from hornbeamdeck.store.store_interface import StoreInterface
from hornbeamdeck.version.gateway import GatewayConfiguration

__all__ = ('ParseConfiguration', 'PlatformAdapter')

ParseConfiguration: TypeAlias = Callable[
    [str, int],
    Result[GatewayConfiguration, tuple[object, ...]],
]
EntriesEndpoint: TypeAlias = Callable[
    [HttpRequest, list[InstanceStatus], int],
    HttpResponse,
]


class PlatformAdapter(NamedTuple):
    """The functions that adapt a gateway process to its platform.

    :param era_header: name of the header in which the store names its era.
    :param open_store: takes the calls that reach the store.
    :param open_rollout_store: takes the same.
    :param report_path: where engines describe themselves.
    :param born_field: name of the field in which they state the start of their
        incarnation.
    :param parse_configuration: parses a configuration document; takes its text
        and version.
    :param handle_entries_request: responds to a caller that requests the
        addresses to connect to; takes the request, the usable instances and for
        how long, in ms, the response may be cached.
    """

    era_header: str
    open_store: Callable[[StoreCalls], StoreInterface]
    open_rollout_store: Callable[[StoreCalls], RolloutStore]
    dialect: Dialect
    report_path: str
    born_field: str
    parse_configuration: ParseConfiguration
    handle_entries_request: EntriesEndpoint
