"""What objects of a store describe, in the product's own types."""

import json
from collections.abc import Callable, Iterable
from typing import Any, Final

from result import Err, Ok, Result

from hornbeamdeck.connection.json_calls import JsonContent
from hornbeamdeck.connection.json_text import CONTENT_ERRORS
from hornbeamdeck.connection.store_client import StoreUnavailable
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.connection.unusable_entries import UnusableEntries
from hornbeamdeck.membership.membership import InstanceStatus
from hornbeamdeck.store.store_interface import ConfigurationRead, StoredRecord
from hornbeamdeck.store.stored_objects import object_name, object_revision

__all__ = (
    'FIELD_SPEC',
    'to_configuration',
    'to_record',
    'to_records',
    'to_status',
    'to_statuses',
)

FIELD_SPEC: Final = 'spec'


def to_configuration(
    stored: Any, era: int, version_of: Callable[[Any], int]
) -> Result[ConfigurationRead, StoreUnavailable]:
    """Read a configuration; one that can't be read counts as an outage.

    :param stored: `None`: there is none.
    :param version_of: returns the version that a document states.
    """
    if stored is None:
        return Ok(ConfigurationRead(StoreRevision(era, 0), 0, None))
    try:
        spec = stored[FIELD_SPEC]
        revision = StoreRevision(era, object_revision(stored))
        return Ok(
            ConfigurationRead(revision, version_of(spec), json.dumps(spec))
        )
    except CONTENT_ERRORS as error:
        return Err(StoreUnavailable(f'malformed configuration: {error!r}'))


def to_record(written: JsonContent) -> Result[StoredRecord, StoreUnavailable]:
    """Read a record; one that can't be read counts as an outage."""
    stored = written.found
    if stored is None:
        return Ok(StoredRecord(None, None))
    try:
        revision = StoreRevision(written.era, object_revision(stored))
        return Ok(StoredRecord(revision, stored[FIELD_SPEC]))
    except CONTENT_ERRORS as error:
        return Err(StoreUnavailable(f'malformed record: {error!r}'))


def to_status(stored: Any) -> Result[InstanceStatus, str]:
    """Read the status of an instance.

    :returns: the status, or why there is none.
    """
    try:
        return Ok(InstanceStatus.from_text(json.dumps(stored[FIELD_SPEC])))
    except CONTENT_ERRORS as error:
        return Err(repr(error))


def to_statuses(
    listed: Iterable[Any], unusable: UnusableEntries
) -> tuple[InstanceStatus, ...]:
    """Read the statuses of instances, and report those that can't be read."""
    statuses = []
    for stored in listed:
        parsed = to_status(stored)
        if isinstance(parsed, Ok):
            statuses.append(parsed.ok_value)
        else:
            unusable.record('instances', stored, parsed.err_value)
    return tuple(statuses)


def to_records(
    listed: Iterable[Any], era: int, unusable: UnusableEntries
) -> dict[str, StoredRecord]:
    """Read records by name, and report those that can't be read."""
    records = {}
    for stored in listed:
        parsed = to_record(JsonContent(era, stored))
        if isinstance(parsed, Ok):
            records[object_name(stored)] = parsed.ok_value
        else:
            unusable.record('records', stored, str(parsed.err_value))
    return records
