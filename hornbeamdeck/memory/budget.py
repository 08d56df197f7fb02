"""Counts the bytes that are held for callers, engines and instances."""

import enum
from collections import Counter
from types import MappingProxyType
from typing import Final, Self

from hornbeamdeck.const import MEBIBYTE

__all__ = ('Account', 'MemoryBudget', 'Purpose')

# What a process needs for itself: 35 to 40 MB when idle, more under load.
PROCESS_MB: Final = 64
# Half of the rest: buffers of the kernel, copies that are made while bytes are
# passed on, and memory that the allocator does not return are not counted.
BUDGET_SHARE: Final = 0.5
MIN_BUDGET_MB: Final = 16
DEFAULT_BUDGET_MB: Final = 128


class Purpose(enum.Enum):
    """What bytes are held for."""

    REQUEST_BODIES = 'request_bodies'
    UNREAD_RESPONSES = 'unread_responses'
    ENGINE_RESPONSES = 'engine_responses'
    TUNNELS = 'tunnels'
    PEER_MESSAGES = 'peer_messages'


# Shares of the budget. Each direction has its own, so that callers that don't
# read leave room for new requests.
_SHARES: Final = MappingProxyType(
    {
        Purpose.REQUEST_BODIES: 0.25,
        Purpose.UNREAD_RESPONSES: 0.5,
        Purpose.ENGINE_RESPONSES: 0.0625,
        Purpose.TUNNELS: 0.125,
        Purpose.PEER_MESSAGES: 0.0625,
    }
)


class MemoryBudget:
    """The bytes held by purpose, and how many may be held."""

    def __init__(self, budget_bytes: int) -> None:
        """Start with nothing held."""
        self.budget_bytes = budget_bytes
        # How often there was no room, by purpose.
        self.times_without_room: Counter[Purpose] = Counter()
        self._held = dict.fromkeys(Purpose, 0)

    @classmethod
    def from_settings(cls, memory_mb: float | None) -> Self:
        """Make the budget of a process that may use this much memory.

        :param memory_mb: `None`: not stated by the deployment.
        """
        budget_mb: float = DEFAULT_BUDGET_MB
        if memory_mb is not None:
            spare_mb = (memory_mb - PROCESS_MB) * BUDGET_SHARE
            budget_mb = max(spare_mb, MIN_BUDGET_MB)
        return cls(int(budget_mb * MEBIBYTE))

    def open_account(self, purpose: Purpose) -> 'Account':
        """Make what counts the bytes of one connection."""
        return Account(self, purpose)

    def held_bytes(self, purpose: Purpose) -> int:
        """Return how many bytes are held for a purpose."""
        return self._held[purpose]

    def share_bytes(self, purpose: Purpose) -> int:
        """Return how many bytes may be held for a purpose."""
        return int(self.budget_bytes * _SHARES[purpose])

    def has_room(self, purpose: Purpose, wanted_bytes: int = 0) -> bool:
        """Return whether so many more bytes may be held for a purpose."""
        held = self._held[purpose] + wanted_bytes
        return held <= self.share_bytes(purpose)

    def count_without_room(self, purpose: Purpose) -> None:
        """Count that there was no room for a purpose."""
        self.times_without_room[purpose] += 1

    def hold(self, purpose: Purpose, held_bytes: int) -> None:
        """Count bytes that are held from now on, also beyond the share."""
        self._held[purpose] += held_bytes

    def drop(self, purpose: Purpose, held_bytes: int) -> None:
        """Count bytes that are no longer held."""
        self._held[purpose] -= held_bytes


class Account:
    """The bytes held for one connection, counted in the budget too."""

    def __init__(self, budget: MemoryBudget, purpose: Purpose) -> None:
        """Start with nothing held."""
        self._budget = budget
        self._purpose = purpose
        self._held_bytes = 0

    def has_room(self, wanted_bytes: int) -> bool:
        """Return whether so many more bytes may be held.

        There always is while nothing is held for others, so that one that is
        larger than the share is possible. That there is no room is counted.
        """
        is_only = self._budget.held_bytes(self._purpose) == self._held_bytes
        has_room = is_only or self._budget.has_room(self._purpose, wanted_bytes)
        if not has_room:
            self._budget.count_without_room(self._purpose)
        return has_room

    def hold(self, held_bytes: int) -> None:
        """Count bytes that are held from now on."""
        self._held_bytes += held_bytes
        self._budget.hold(self._purpose, held_bytes)

    def drop(self, dropped_bytes: int | None = None) -> None:
        """Count bytes that are no longer held; `None`: all of them."""
        dropped = self._held_bytes if dropped_bytes is None else dropped_bytes
        self._held_bytes -= dropped
        self._budget.drop(self._purpose, dropped)
