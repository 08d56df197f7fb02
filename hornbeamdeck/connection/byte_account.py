"""Interface for counting the bytes that are held for a connection."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeAlias

__all__ = (
    'AsyncEnd',
    'ByteAccount',
    'OpenResponse',
    'ResponseAccount',
    'Unlimited',
    'UnlimitedResponse',
)

AsyncEnd: TypeAlias = Callable[[], Awaitable[None]]


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


class ResponseAccount(Protocol):
    """Counts the bytes of one response that are held while it arrives."""

    has_ended: bool

    def hold(self, held_bytes: int) -> bool:
        """Set how many bytes are held now; return whether it may grow."""

    async def async_wait(self) -> bool:
        """Wait until it may grow.

        :returns: `False`: it was ended to make room.
        """

    def drop(self) -> None:
        """Count its bytes as no longer held."""


# Makes the account of a response, given what breaks its connection.
OpenResponse: TypeAlias = Callable[[AsyncEnd], ResponseAccount]


class UnlimitedResponse:
    """A response of which as much may be held as its own limits allow."""

    has_ended = False

    def __init__(self, _async_end: AsyncEnd | None = None) -> None:
        """Count nothing."""

    def hold(self, _held_bytes: int) -> bool:
        """Return that it may always grow."""
        return True

    async def async_wait(self) -> bool:
        """Return that it may always grow."""
        return True

    def drop(self) -> None:
        """Count nothing."""
