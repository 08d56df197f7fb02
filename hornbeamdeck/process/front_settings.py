"""Settings of a process that serves routed requests: JSON, checked."""

from typing import Any, Final, NamedTuple, Self

import voluptuous as vol

from hornbeamdeck.connection.address import Address
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.process.settings import (
    LOG_LEVELS,
    MIN_SECRET_CHARS,
    ip_and_port,
)

__all__ = ('Bounds', 'FrontSettings')

DEFAULT_METRICS_PORT: Final = 9464
MAX_PORT: Final = 65_535

_ADDRESS: Final = vol.All(str, ip_and_port)
_MILLIS: Final = vol.All(vol.Coerce(int), vol.Range(min=0))
_AMOUNT: Final = vol.All(vol.Coerce(float), vol.Range(min=0))

BOUNDS_SCHEMA: Final = vol.Schema(
    {
        vol.Required('stability_ms'): _MILLIS,
        vol.Required('drain_ms'): _MILLIS,
        vol.Required('grace_s'): _AMOUNT,
        vol.Required('configuration_apply_ms'): _MILLIS,
        vol.Required('revocation_ms'): _MILLIS,
        vol.Required('retry_ratio'): _AMOUNT,
        vol.Required('retry_window_s'): _AMOUNT,
        vol.Required('retry_slack'): _AMOUNT,
        vol.Required('quota_window_s'): _AMOUNT,
        vol.Required('quota_slack'): _AMOUNT,
        vol.Required('entries_ttl_ms'): _MILLIS,
    },
)

FRONT_SCHEMA: Final = vol.Schema(
    {
        vol.Required('instance_id'): vol.All(str, vol.Length(min=1)),
        vol.Required('availability_zone'): vol.All(str, vol.Length(min=1)),
        vol.Required('address'): _ADDRESS,
        vol.Required('ready_address'): _ADDRESS,
        vol.Required('entries_address'): _ADDRESS,
        vol.Required('peer_address'): _ADDRESS,
        vol.Required('platform_address'): _ADDRESS,
        vol.Required('seed_peers'): vol.All([_ADDRESS], vol.Coerce(tuple)),
        vol.Required('fleet_secret'): vol.All(
            str,
            vol.Length(min=MIN_SECRET_CHARS),
        ),
        vol.Required('is_first_start'): bool,
        vol.Required('cores'): vol.All(
            vol.Coerce(float),
            vol.Range(min=0, min_included=False),
        ),
        vol.Optional('metrics_port', default=DEFAULT_METRICS_PORT): vol.All(
            int,
            vol.Range(min=0, max=MAX_PORT),
        ),
        vol.Optional('log_level', default='info'): vol.In(LOG_LEVELS),
        vol.Required('bounds'): BOUNDS_SCHEMA,
    },
)


class Bounds(NamedTuple):
    """What the operator promises and allows; times in milliseconds.

    :param stability_ms: how long a machine must have been calm to be judged.
    :param drain_ms: a leaving engine gets no new work after this.
    :param grace_ms: from the request to stop until the process is killed.
    :param configuration_apply_ms: a version is in force after this.
    :param revocation_ms: a revoked key is dead after this, everywhere.
    :param retry_ratio: second tries allowed for each request of a service.
    :param retry_slack: second tries allowed besides, in a window.
    :param quota_slack: tokens that a team may spend beyond its limit.
    :param entries_ttl_ms: how long callers may keep an addresses answer.
    """

    stability_ms: int
    drain_ms: int
    grace_ms: float
    configuration_apply_ms: int
    revocation_ms: int
    retry_ratio: float
    retry_window_ms: float
    retry_slack: float
    quota_window_ms: float
    quota_slack: float
    entries_ttl_ms: int

    @classmethod
    def from_config(cls, checked: dict[str, Any]) -> Self:
        """Build from a checked section; what is in seconds becomes ms."""
        converted = {
            f'{name.removesuffix("_s")}_ms': amount * MILLIS_PER_SECOND
            for name, amount in checked.items()
            if name.endswith('_s')
        }
        kept = {
            name: amount
            for name, amount in checked.items()
            if not name.endswith('_s')
        }
        return cls(**kept, **converted)


class FrontSettings(NamedTuple):
    """What such a process is told when it starts.

    :param address: where callers send their requests.
    :param ready_address: where the platform asks whether it is ready.
    :param entries_address: where callers ask which addresses to use.
    :param peer_address: where other instances connect.
    :param seed_peers: peer addresses to ask while the store is away.
    :param is_first_start: whether the whole fleet starts for the first time.
    :param metrics_port: where metrics are served; 0 lets the system choose.
    :param cores: processor share, the weight when owners are picked.
    """

    instance_id: str
    availability_zone: str
    address: Address
    ready_address: Address
    entries_address: Address
    peer_address: Address
    platform_address: Address
    seed_peers: tuple[Address, ...]
    fleet_secret: str
    is_first_start: bool
    cores: float
    metrics_port: int
    log_level: str
    bounds: Bounds

    @classmethod
    def from_config(cls, raw: dict[str, Any]) -> Self:
        """Check raw settings and build from them.

        :raises voluptuous.MultipleInvalid: where a field is wrong.
        """
        checked = FRONT_SCHEMA(raw)
        bounds = Bounds.from_config(checked.pop('bounds'))
        return cls(**checked, bounds=bounds)
