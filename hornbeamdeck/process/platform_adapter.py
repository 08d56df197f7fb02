"""What adapts a gateway process to its platform."""

from collections.abc import Callable
from typing import NamedTuple, Protocol, TypeAlias, TypeVar

from result import Result

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.store_era import StoreEra
from hornbeamdeck.process.membership import InstanceStatus
from hornbeamdeck.process.store_interface import StoreInterface
from hornbeamdeck.request.gateway_request import Dialect
from hornbeamdeck.rollout.store_interface import RolloutStore
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
_Store = TypeVar('_Store', covariant=True)


class OpenStore(Protocol[_Store]):
    """Creates the calls to a store."""

    def __call__(
        self,
        address: Address,
        era: StoreEra,
        count_call: Callable[[str], None],
    ) -> _Store:
        """Create them; see `PlatformAdapter`."""


class PlatformAdapter(NamedTuple):
    """The functions that adapt a gateway process to its platform.

    :param era_header: name of the header in which the store names its era.
    :param open_store: takes the store's address, the era that its responses
        update and a callback that counts calls by role.
    :param open_rollout_store: takes the same.
    :param parse_configuration: parses a configuration document; takes its text
        and version.
    :param handle_entries_request: responds to a caller that requests the
        addresses to connect to; takes the request, the usable instances and for
        how long, in ms, the response may be cached.
    """

    era_header: str
    open_store: OpenStore[StoreInterface]
    open_rollout_store: OpenStore[RolloutStore]
    dialect: Dialect
    parse_configuration: ParseConfiguration
    handle_entries_request: EntriesEndpoint
