"""Settings of one instance process, read from a JSON file and validated."""

import json
import pathlib
from collections.abc import Callable
from typing import Any, Final, NamedTuple, Self, TypeVar

import voluptuous as vol
from result import Err, Ok, Result

from hornbeamdeck.connection.address import Address

__all__ = (
    'LOG_LEVELS',
    'MIN_SECRET_CHARS',
    'Settings',
    'SettingsError',
    'parse_address',
    'load_settings_file',
    'load_settings',
)

_Checked = TypeVar('_Checked')

DEFAULT_DRAIN_MS: Final = 30_000
DEFAULT_ENTRIES_TTL_MS: Final = 5000
MIN_SECRET_CHARS: Final = 16
MAX_ID_CHARS: Final = 64
LOG_LEVELS: Final = ('debug', 'info', 'warning', 'error')
POLICIES: Final = ('grant', 'round_robin', 'least_reported_load')


def parse_address(text: str) -> Address:
    """Parse an address.

    :raises voluptuous.Invalid: if the text is not a valid address.
    """
    try:
        return Address.from_text(text)
    except ValueError as error:
        raise vol.Invalid('expected ip:port') from error


_SECRET: Final = vol.All(str, vol.Length(min=MIN_SECRET_CHARS))

SETTINGS_SCHEMA: Final = vol.Schema(
    {
        vol.Required('instance_id'): vol.All(
            str, vol.Length(min=1, max=MAX_ID_CHARS)
        ),
        vol.Required('availability_zone'): vol.All(str, vol.Length(min=1)),
        vol.Required('address'): vol.All(str, parse_address),
        vol.Required('peer_address'): vol.All(str, parse_address),
        vol.Required('platform_address'): vol.All(str, parse_address),
        vol.Required('fleet_secret'): _SECRET,
        vol.Required('operator_token'): _SECRET,
        vol.Optional('seed_peers', default=list): vol.All(
            [vol.All(str, parse_address)],
            vol.Coerce(tuple),
        ),
        vol.Optional('policy', default='grant'): vol.In(POLICIES),
        vol.Optional('drain_ms', default=DEFAULT_DRAIN_MS): vol.All(
            int,
            vol.Range(min=0),
        ),
        vol.Optional('entries_ttl_ms', default=DEFAULT_ENTRIES_TTL_MS): vol.All(
            int,
            vol.Range(min=0),
        ),
        vol.Optional('log_level', default='info'): vol.In(LOG_LEVELS),
    },
)


class Settings(NamedTuple):
    """Settings of an instance process.

    :param address: where callers connect; port 0 lets the system choose.
    :param peer_address: where other instances connect.
    :param seed_peers: addresses of peers from which a snapshot is requested
        while the store is down.
    :param drain_ms: longest duration of a graceful shutdown, milliseconds.
    :param entries_ttl_ms: how long callers may cache the list of addresses.
    """

    instance_id: str
    availability_zone: str
    address: Address
    peer_address: Address
    platform_address: Address
    fleet_secret: str
    operator_token: str
    seed_peers: tuple[Address, ...]
    policy: str
    drain_ms: int
    entries_ttl_ms: int
    log_level: str

    @classmethod
    def from_config(cls, raw: dict[str, Any]) -> Self:
        """Build from raw settings and validate them.

        :raises voluptuous.MultipleInvalid: if a field is invalid.
        """
        return cls(**SETTINGS_SCHEMA(raw))


class SettingsError(NamedTuple):
    """An error in a settings file.

    :param field: the field's name; empty if the whole file is invalid.
    """

    path: str
    field: str
    message: str

    def __str__(self) -> str:
        """Return the file, the field and the message."""
        location = f'{self.path}: {self.field}' if self.field else self.path
        return f'{location}: {self.message}'


def load_settings(
    path: str,
) -> Result[Settings, tuple[SettingsError, ...]]:
    """Read and validate the settings file of an instance."""
    return load_settings_file(path, Settings.from_config)


def load_settings_file(
    path: str,
    from_config: Callable[[dict[str, Any]], _Checked],
) -> Result[_Checked, tuple[SettingsError, ...]]:
    """Read and validate a settings file.

    :param from_config: builds the settings; raises if a field is invalid.
    :returns: the settings, or all errors with their file and field.
    """
    try:
        raw = json.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        return Err((SettingsError(path, '', str(error)),))
    try:
        return Ok(from_config(raw))
    except vol.MultipleInvalid as invalid:
        return Err(
            tuple(
                SettingsError(path, '.'.join(map(str, each.path)), each.msg)
                for each in invalid.errors
            ),
        )
