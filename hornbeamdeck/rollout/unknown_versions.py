"""Versions of engines that no read of the orders has covered yet."""

from collections.abc import Iterable

__all__ = ('UnknownVersions',)


class UnknownVersions:
    """Versions of one service that may belong to an order not read yet.

    An order is written before its engines start. So if the orders are read
    after an engine of a new version was listed, the order is among them.
    """

    def __init__(self) -> None:
        """Start without versions; those listed first count as known."""
        self._known: set[str] = set()
        self._seen_ms: dict[str, float] = {}

    def record(self, versions: Iterable[str], now: float) -> None:
        """Record the versions that are listed now."""
        listed = set(versions)
        if not self._known:
            self._known = listed
        for version in listed - self._known:
            self._seen_ms.setdefault(version, now)
        for gone in self._seen_ms.keys() - listed:
            self._seen_ms.pop(gone)

    def confirm(self, requested_ms: float) -> None:
        """Record that the orders were read.

        :param requested_ms: when the request was sent.
        """
        for version, seen_ms in tuple(self._seen_ms.items()):
            if seen_ms <= requested_ms:
                self._seen_ms.pop(version)
                self._known.add(version)

    def unknown(self) -> frozenset[str]:
        """Return the versions that must get no requests."""
        return frozenset(self._seen_ms)
