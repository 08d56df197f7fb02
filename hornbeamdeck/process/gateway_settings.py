"""Settings of a gateway process, read from JSON and validated."""

from typing import Any, Final, NamedTuple, Self

import voluptuous as vol

from hornbeamdeck.connection.address import Address
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.process.settings import (
    LOG_LEVELS,
    MIN_SECRET_CHARS,
    parse_address,
)
from hornbeamdeck.scheduling.rollout import RolloutBounds

__all__ = ('Bounds', 'GatewaySettings')

DEFAULT_METRICS_PORT: Final = 9464
MAX_PORT: Final = 65_535

_ADDRESS: Final = vol.All(str, parse_address)
_MILLISECONDS: Final = vol.All(vol.Coerce(int), vol.Range(min=0))
_NON_NEGATIVE: Final = vol.All(vol.Coerce(float), vol.Range(min=0))

BOUNDS_SCHEMA: Final = vol.Schema(
    {
        vol.Required('stability_ms'): _MILLISECONDS,
        vol.Required('drain_ms'): _MILLISECONDS,
        vol.Required('grace_s'): _NON_NEGATIVE,
        vol.Required('configuration_apply_ms'): _MILLISECONDS,
        vol.Required('revocation_ms'): _MILLISECONDS,
        vol.Required('retry_ratio'): _NON_NEGATIVE,
        vol.Required('retry_window_s'): _NON_NEGATIVE,
        vol.Required('retry_slack'): _NON_NEGATIVE,
        vol.Required('quota_window_s'): _NON_NEGATIVE,
        vol.Required('quota_slack'): _NON_NEGATIVE,
        vol.Optional('quota_overage', default=0): vol.Any(
            _NON_NEGATIVE, vol.All(None, vol.SetTo(0))
        ),
        vol.Required('entries_ttl_ms'): _MILLISECONDS,
    },
)

ROLLOUTS_SCHEMA: Final = vol.Schema(
    {
        vol.Required('expose_share'): vol.All(_NON_NEGATIVE, vol.Range(max=1)),
        vol.Required('expose_slack'): _NON_NEGATIVE,
        vol.Required('rollback_ms'): _MILLISECONDS,
    },
)


def _check_rollouts(raw: Any) -> dict[str, Any] | None:
    """Check the bounds on roll-outs.

    A deployment without roll-outs sets none of them. One that sets some must
    set all, so that a version is not rolled out without a limit.

    :raises voluptuous.Invalid: if a field is missing or invalid.
    """
    if raw is None:
        return None
    fields = vol.Schema(dict)(raw)
    stated = {
        name: bound for name, bound in fields.items() if bound is not None
    }
    if not stated:
        return None
    checked: dict[str, Any] = ROLLOUTS_SCHEMA(stated)
    return checked


GATEWAY_SCHEMA: Final = vol.Schema(
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
        vol.Optional('memory_mb', default=None): vol.Any(
            None,
            vol.All(vol.Coerce(float), vol.Range(min=0, min_included=False)),
        ),
        vol.Optional('max_descriptors', default=None): vol.Any(
            None, vol.All(int, vol.Range(min=1))
        ),
        vol.Optional('file_descriptors', default=0): vol.All(
            int, vol.Range(min=0)
        ),
        vol.Required('bounds'): BOUNDS_SCHEMA,
        vol.Optional('rollouts', default=None): _check_rollouts,
    },
)


class Bounds(NamedTuple):
    """Limits that the operator guarantees or allows; times in milliseconds.

    :param stability_ms: how long a machine must have run without disturbance
        before it is judged.
    :param drain_ms: a draining engine gets no new requests after this time.
    :param grace_ms: time from the stop request until the process is killed.
    :param configuration_apply_ms: a new configuration version is in force on
        all instances after this time.
    :param revocation_ms: a revoked key is refused by all instances after this
        time.
    :param retry_ratio: retries allowed per request of a service.
    :param retry_slack: additional retries allowed per window.
    :param quota_slack: tokens that a team may spend beyond its limit.
    :param quota_overage: what a team may spend beyond its limit, as a share of
        it.
    :param entries_ttl_ms: how long callers may cache the list of addresses.
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
    quota_overage: float
    entries_ttl_ms: int

    @classmethod
    def from_config(cls, checked: dict[str, Any]) -> Self:
        """Build from a validated section; converts seconds to milliseconds."""
        converted = {
            f'{name.removesuffix("_s")}_ms': setting * MILLIS_PER_SECOND
            for name, setting in checked.items()
            if name.endswith('_s')
        }
        unconverted = {
            name: setting
            for name, setting in checked.items()
            if not name.endswith('_s')
        }
        return cls(**unconverted, **converted)


class GatewaySettings(NamedTuple):
    """Settings of a gateway process.

    :param address: where callers send their requests.
    :param ready_address: where the platform checks whether it is ready.
    :param entries_address: where callers request the addresses to use.
    :param peer_address: where other instances connect.
    :param seed_peers: addresses of peers from which a snapshot is requested
        while the store is down.
    :param is_first_start: whether the whole fleet starts for the first time.
    :param metrics_port: where metrics are served; 0 lets the system choose.
    :param cores: processor share, used as this instance's weight in the choice
        of owners.
    :param memory_mb: memory that the process may use; `None`: not stated.
    :param max_descriptors: descriptors that the process may have open; `None`:
        as many as the operating system allows.
    :param file_descriptors: how many of these are kept for files, so that no
        socket can have them.
    :param rollouts: limits of new versions; `None`: the deployment has no
        roll-outs.
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
    memory_mb: float | None
    max_descriptors: int | None
    file_descriptors: int
    bounds: Bounds
    rollouts: RolloutBounds | None

    @classmethod
    def from_config(cls, raw: dict[str, Any]) -> Self:
        """Build from raw settings and validate them.

        :raises voluptuous.MultipleInvalid: if a field is invalid.
        """
        checked = GATEWAY_SCHEMA(raw)
        bounds = Bounds.from_config(checked.pop('bounds'))
        rollouts = checked.pop('rollouts')
        return cls(
            **checked,
            bounds=bounds,
            rollouts=RolloutBounds(**rollouts) if rollouts else None,
        )
