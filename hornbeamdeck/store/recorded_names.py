"""Names that the instances have recorded in the store, by service."""

from collections.abc import Collection, Iterable, Mapping
from typing import Any, Final, NamedTuple

import structlog
import voluptuous as vol

from hornbeamdeck.connection.json_validators import encodable_text
from hornbeamdeck.store.store_interface import StoredRecord

__all__ = (
    'NOTHING_RECORDED',
    'Recorded',
    'is_empty',
    'make_fields',
    'names_for_all',
    'parse_fields',
    'parse_record',
)

_LOGGER = structlog.get_logger(prefix='records')

_FIELD_ERA: Final = 'era'
_FIELD_NAMES: Final = 'names'
_FIELD_COMPLETE: Final = 'complete'
_FIELD_DOUBTED: Final = 'doubted'
_RECORD: Final = vol.Schema(
    {
        vol.Required(_FIELD_ERA): int,
        vol.Required(_FIELD_NAMES): vol.Schema(
            {encodable_text: [encodable_text]}
        ),
        vol.Required(_FIELD_COMPLETE): [encodable_text],
        vol.Optional(_FIELD_DOUBTED, default=list): [encodable_text],
    }
)


class Recorded(NamedTuple):
    """What a record says of one service.

    :param is_complete: whether its writer knew all names. A record that an
        earlier era of the store holds may have been followed by a newer one.
    :param is_doubted: whether its writer knew that there may be others, which
        no owner knows.
    """

    names: Collection[str]
    is_complete: bool
    is_doubted: bool = False


NOTHING_RECORDED: Final = Recorded((), is_complete=False)


def make_fields(era: int, recorded: Mapping[str, Recorded]) -> dict[str, Any]:
    """Return the fields of a record.

    :param era: of the store that it is written to.
    """
    return {
        _FIELD_ERA: era,
        _FIELD_NAMES: {
            service: sorted(of_service.names)
            for service, of_service in recorded.items()
        },
        _FIELD_COMPLETE: sorted(
            service for service, each in recorded.items() if each.is_complete
        ),
        _FIELD_DOUBTED: sorted(
            service for service, each in recorded.items() if each.is_doubted
        ),
    }


def is_empty(fields: Mapping[str, Any]) -> bool:
    """Return whether a record says nothing of any service."""
    return not fields[_FIELD_NAMES]


def parse_record(stored: StoredRecord) -> dict[str, Recorded]:
    """Return what a record says, by service.

    Only what was written in the era of the store that it was read in is
    complete: what a restored store holds may have been followed by more.
    """
    if stored.revision is None:
        return {}
    return parse_fields(stored.fields, stored.revision.era)


def parse_fields(fields: Any, era: int) -> dict[str, Recorded]:
    """Return the same for a record that is read in an era."""
    if not isinstance(fields, dict) or _FIELD_NAMES not in fields:
        # The format of earlier releases.
        fields = {_FIELD_ERA: -1, _FIELD_NAMES: fields, _FIELD_COMPLETE: []}
    try:
        parsed = _RECORD(fields)
    except vol.Invalid as error:
        _LOGGER.warning('record ignored', cause=str(error))
        return {}
    is_current = parsed[_FIELD_ERA] == era
    return {
        service: Recorded(
            names,
            is_current and service in parsed[_FIELD_COMPLETE],
            service in parsed[_FIELD_DOUBTED],
        )
        for service, names in parsed[_FIELD_NAMES].items()
    }


def names_for_all(
    service: str, possible: Iterable[Mapping[str, Recorded]]
) -> frozenset[str] | None:
    """Return the names that whoever reads the store would take for all.

    :param possible: what each record says that the store may hold now.
    :returns: those that all of them have; `None`: none would be relied on.
    """
    complete = [
        frozenset(recorded[service].names)
        for recorded in possible
        if service in recorded and recorded[service].is_complete
    ]
    return frozenset.intersection(*complete) if complete else None
