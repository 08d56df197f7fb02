"""Objects of a store as they were read, whoever has written them."""

import json
from typing import Any, Final

from hornbeamdeck.connection.json_calls import is_revision
from hornbeamdeck.connection.json_text import is_plain_text
from hornbeamdeck.connection.unusable_entries import UnusableEntries
from hornbeamdeck.const import ENCODING

__all__ = (
    'last_name',
    'object_name',
    'object_revision',
    'usable_events',
    'usable_objects',
)

_CAUSE = 'no name or revision'
# A few objects of 1 MB would otherwise take all that a list may have.
MAX_OBJECT_CHARS: Final = 65_536
# What instances write for each other may be longer.
_LONG_KINDS: Final = frozenset(('records',))


def last_name(listed: list[Any]) -> str:
    """Return the name from which a list goes on after a page.

    Entries that can't be used count, too: they may fill a page.

    :returns: empty if no entry has a name that can be sent.
    """
    for stored in reversed(listed):
        name = _metadata_of(stored).get('name')
        if isinstance(name, str) and _is_encodable(name):
            return name
    return ''


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
    kind: str,
    listed: list[Any],
    unusable: UnusableEntries,
    page_bytes: int = 0,
) -> list[Any]:
    """Leave out what is no object or too long for one, and report it.

    :param page_bytes: length of the page that lists them.
    """
    usable = []
    may_be_long = page_bytes > MAX_OBJECT_CHARS and kind not in _LONG_KINDS
    for stored in listed:
        cause = ''
        if may_be_long and len(json.dumps(stored)) > MAX_OBJECT_CHARS:
            cause = 'too long'
        if not _has_name(stored) or not _has_revision(stored):
            cause = _CAUSE
        if cause:
            unusable.record(kind, stored, cause)
        else:
            usable.append(stored)
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


def _metadata_of(stored: Any) -> dict[Any, Any]:
    metadata = stored.get('metadata') if isinstance(stored, dict) else None
    return metadata if isinstance(metadata, dict) else {}


def _is_encodable(name: str) -> bool:
    try:
        name.encode(ENCODING)
    except UnicodeEncodeError:
        return False
    return True


def _has_name(stored: Any) -> bool:
    return is_plain_text(_metadata_of(stored).get('name'))


def _has_revision(stored: Any) -> bool:
    return is_revision(stored['metadata'].get('revision'))
