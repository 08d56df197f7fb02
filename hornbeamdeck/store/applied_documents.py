"""Documents that were in force, to tell when a restored store holds one again.

Only where the versions of documents are those of the store: it keeps them in
its copies, and counts from there in its next era.
"""

import hashlib
from collections import OrderedDict
from typing import Final

from hornbeamdeck.connection.store_client import StoredObject
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.const import ENCODING

__all__ = ('AppliedDocuments',)

MAX_DOCUMENTS: Final = 64


class AppliedDocuments:
    """The newest documents that this process has applied."""

    def __init__(self) -> None:
        """Start without documents."""
        self._digests: OrderedDict[StoreRevision, str] = OrderedDict()

    def record(self, document: StoredObject) -> None:
        """Record a document that comes into force."""
        revision = StoreRevision.from_packed(document.version)
        self._digests[revision] = _digest(document)
        if len(self._digests) > MAX_DOCUMENTS:
            self._digests.popitem(last=False)

    def contains(self, document: StoredObject) -> bool:
        """Return whether a document of an earlier era was read again."""
        revision = StoreRevision.from_packed(document.version)
        return any(
            applied.era < revision.era
            and applied.number == revision.number
            and applied_digest == _digest(document)
            for applied, applied_digest in self._digests.items()
        )


def _digest(document: StoredObject) -> str:
    return hashlib.sha256((document.body or '').encode(ENCODING)).hexdigest()
