"""Interface for counting the bytes that are held for a connection."""

from typing import Protocol

__all__ = ('ByteAccount', 'Unlimited')


class ByteAccount(Protocol):
    """Counts the bytes that are held for one connection."""

    def has_room(self, wanted_bytes: int) -> bool:
        """Return whether so many more bytes may be held."""

    def hold(self, held_bytes: int) -> None:
        """Count bytes that are held from now on."""

    def drop(self, dropped_bytes: int | None = None) -> None:
        """Count bytes that are no longer held; `None`: all of them."""


class Unlimited:
    """An account of a process that does not limit what it holds."""

    def has_room(self, _wanted_bytes: int) -> bool:
        """Return that there is always room."""
        return True

    def hold(self, _held_bytes: int) -> None:
        """Count nothing."""

    def drop(self, _dropped_bytes: int | None = None) -> None:
        """Count nothing."""
