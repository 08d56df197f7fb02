"""Whom a crash is held against."""

from hornbeamdeck.scheduling.crash_watch import (
    POISON_CRASHES,
    SAME_CRASH_MS,
    CrashWatch,
)


def test_only_what_broke_with_the_engine_is_blamed() -> None:
    watch = CrashWatch()
    watch.record_failed_run('e1', 'long-ago', 0)
    watch.record_failed_run('e1', 'beside', 9000)
    watch.record_failed_run('e2', 'elsewhere', 9000)
    assert watch.record_crash('e1', 9000 + SAME_CRASH_MS / 2) == 'beside'
    assert watch.crashes('beside', 10_000) == 1
    assert not watch.crashes('long-ago', 10_000)
    assert not watch.crashes('elsewhere', 10_000)


def test_one_crash_is_counted_once() -> None:
    """Ten connections are refused after one crash. Counted each, the requests
    beside it would be refused as if they had crashed ten engines.
    """
    watch = CrashWatch()
    watch.record_failed_run('e1', 'beside', 0)
    for moment in range(10):
        watch.record_crash('e1', moment)
    assert watch.crashes('beside', 100) == 1


def test_what_another_owner_knew_is_kept() -> None:
    """An owner dies that knew of two crashes. Forgotten, the request that
    caused them would get three more engines from each next owner.
    """
    watch = CrashWatch()
    watch.note('bad', 2, 0)
    watch.note('bad', 1, 10)
    assert watch.crashes('bad', 20) == 2
    watch.record_failed_run('e1', 'bad', 20)
    watch.record_crash('e1', 30)
    assert watch.crashes('bad', 40) == POISON_CRASHES
    assert watch.is_culprit('bad', 40)


def test_who_is_answered_was_innocent() -> None:
    watch = CrashWatch()
    watch.note('good', 2, 0)
    watch.record_answer('good')
    assert not watch.crashes('good', 10)
