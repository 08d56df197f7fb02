"""Who owns what among the members, and what moves when one goes."""

import time

from hornbeamdeck.coordination import HybridClock, owner_of, ranking

MEMBERS = ('a', 'b', 'c')
KEYS = tuple(f'key-{number}' for number in range(9))


def slow_wall_us() -> int:
    """Tell a wall clock that is five seconds slow, microseconds."""
    return time.time_ns() // 1000 - 5_000_000


def main() -> None:
    """Take a member away and count what moved."""
    before = {key: owner_of(key, MEMBERS) for key in KEYS}
    after = {key: owner_of(key, MEMBERS[1:]) for key in KEYS}
    moved = [key for key in KEYS if before[key] != after[key]]
    lost = [key for key in KEYS if before[key] == 'a']
    print('moved only what it owned', moved == lost)
    seconds = all(after[key] == ranking(key, MEMBERS)[1] for key in moved)
    print('each to its second', seconds)

    ours, theirs = HybridClock(), HybridClock(slow_wall_us)
    sent = ours.stamp()
    theirs.observe(sent)
    print('effect after cause', theirs.stamp() > sent)


if __name__ == '__main__':
    main()
