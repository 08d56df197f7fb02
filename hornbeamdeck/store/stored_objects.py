"""Objects of a store as they were read, whoever has written them."""

from typing import Any

from hornbeamdeck.connection.json_calls import is_revision
from hornbeamdeck.connection.json_text import is_plain_text
from hornbeamdeck.connection.unusable_entries import UnusableEntries

__all__ = (
    'object_name',
    'object_revision',
    'usable_events',
    'usable_objects',
)

_CAUSE = 'no name or revision'


def object_name(stored: Any) -> str:
    """Return the name of an object."""
    return str(stored['metadata']['name'])


def object_revision(stored: Any) -> int:
    """Return the revision of an object's last change.

    :raises ValueError: if it has none.
    """
    revision = stored['metadata']['revision']
    if not is_revision(revision):
        raise ValueError('not a revision')
    return int(revision)


def usable_objects(
    kind: str, listed: list[Any], unusable: UnusableEntries
) -> list[Any]:
    """Leave out what is no object, and report it."""
    usable = []
    for stored in listed:
        if _has_name(stored) and _has_revision(stored):
            usable.append(stored)
        else:
            unusable.record(kind, stored, _CAUSE)
    return usable


def usable_events(
    kind: str, events: list[Any], unusable: UnusableEntries
) -> list[dict[str, Any]]:
    """Leave out events that concern no object, and report them."""
    usable = []
    for event in events:
        fields = event if isinstance(event, dict) else {}
        stored = fields.get('object')
        is_removed = bool(fields.get('removed'))
        if _has_name(stored) and (is_removed or _has_revision(stored)):
            usable.append({'removed': is_removed, 'object': stored})
        else:
            unusable.record(kind, stored, _CAUSE)
    return usable


def _has_name(stored: Any) -> bool:
    metadata = stored.get('metadata') if isinstance(stored, dict) else None
    return isinstance(metadata, dict) and is_plain_text(metadata.get('name'))


def _has_revision(stored: Any) -> bool:
    return is_revision(stored['metadata'].get('revision'))
