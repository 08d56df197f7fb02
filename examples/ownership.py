"""Ownership of keys among members, and what moves when a member leaves."""

import time

from hornbeamdeck.coordination import HybridClock, owner_of, ranking

MEMBERS = ('a', 'b', 'c')
KEYS = tuple(f'key-{number}' for number in range(9))


def slow_wall_us() -> int:
    """Return a wall clock that is five seconds slow, microseconds."""
    return time.time_ns() // 1000 - 5_000_000


def main() -> None:
    """Remove a member and check which keys moved and to which members."""
    before = {key: owner_of(key, MEMBERS) for key in KEYS}
    after = {key: owner_of(key, MEMBERS[1:]) for key in KEYS}
    moved = [key for key in KEYS if before[key] != after[key]]
    owned = [key for key in KEYS if before[key] == 'a']
    print('moved only what it owned', moved == owned)
    to_successor = all(after[key] == ranking(key, MEMBERS)[1] for key in moved)
    print('each to its second', to_successor)

    sender, receiver = HybridClock(), HybridClock(slow_wall_us)
    sent = sender.stamp()
    receiver.observe(sent)
    print('effect after cause', receiver.stamp() > sent)


if __name__ == '__main__':
    main()
