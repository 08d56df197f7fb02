"""Evidence for the incarnations of engines."""

import math

import pytest

from hornbeamdeck.scheduling.incarnations import (
    ENTRY_EXPIRY_MS,
    MAX_STATEMENTS,
    IncarnationBook,
)

ENGINE = 'desk-1'
BORN_MS = 7
CONNECTED_MS = 10_000.0


def _book(listed_until_ms: float) -> IncarnationBook:
    return IncarnationBook(lambda _engine, _born_ms, _since_ms: listed_until_ms)


def test_an_entry_alone_is_no_evidence() -> None:
    """Guards against an entry that describes the predecessor of an engine."""
    book = _book(CONNECTED_MS)
    assert not book.is_certain(ENGINE, BORN_MS, CONNECTED_MS)


def test_a_statement_covers_the_time_before_it() -> None:
    """Guards against streams broken off though their engine was asked."""
    book = _book(-math.inf)
    book.record_statement(ENGINE, BORN_MS, CONNECTED_MS)
    assert book.is_certain(ENGINE, BORN_MS, CONNECTED_MS - 1)
    assert not book.is_certain(ENGINE, BORN_MS, CONNECTED_MS + 1)
    assert not book.is_certain(ENGINE, BORN_MS + 1, CONNECTED_MS - 1)


def test_a_later_statement_of_an_earlier_question_takes_nothing_back() -> None:
    """Guards against answers that arrive in another order."""
    book = _book(-math.inf)
    book.record_statement(ENGINE, BORN_MS, CONNECTED_MS)
    book.record_statement(ENGINE, BORN_MS, CONNECTED_MS - 5)
    assert book.is_certain(ENGINE, BORN_MS, CONNECTED_MS)


def test_an_entry_that_goes_on_to_be_listed_is_evidence() -> None:
    """Guards against refusing streams of engines that state nothing."""
    listed_ms = CONNECTED_MS + ENTRY_EXPIRY_MS
    assert _book(listed_ms).is_certain(ENGINE, BORN_MS, CONNECTED_MS)


@pytest.mark.parametrize('has_statements', [False, True])
def test_an_entry_must_outlast_its_expiry(*, has_statements: bool) -> None:
    """Guards against an engine that restarts while cut off from the store."""
    for listed_for_ms, is_certain in (
        (ENTRY_EXPIRY_MS - 1, False),
        (ENTRY_EXPIRY_MS, True),
    ):
        book = _book(CONNECTED_MS + listed_for_ms)
        if has_statements:
            book.record_statement(ENGINE, BORN_MS, CONNECTED_MS - 1)
        assert book.is_certain(ENGINE, BORN_MS, CONNECTED_MS) is is_certain


def test_the_number_of_statements_is_bounded() -> None:
    """Guards against memory that grows with every restart of an engine."""
    book = _book(-math.inf)
    for born_ms in range(MAX_STATEMENTS + 1):
        book.record_statement(ENGINE, born_ms, CONNECTED_MS)
    assert not book.is_certain(ENGINE, 0, CONNECTED_MS)
    assert book.is_certain(ENGINE, MAX_STATEMENTS, CONNECTED_MS)


def test_stale_entry_of_an_engine_that_was_not_asked_is_no_evidence() -> None:
    """Guards against an owner that has never relayed a stream of an engine."""
    book = _book(CONNECTED_MS + ENTRY_EXPIRY_MS - 1)
    book.record_statement('desk-2', BORN_MS, CONNECTED_MS)
    assert not book.is_certain(ENGINE, BORN_MS, CONNECTED_MS)


def test_another_start_refutes_what_ran_before_the_question() -> None:
    """Guards against taking the versions that were listed for all."""
    book = _book(-math.inf)
    assert not book.is_refuted(ENGINE, BORN_MS, CONNECTED_MS)
    book.record_statement(ENGINE, BORN_MS + 1, CONNECTED_MS)
    assert book.is_refuted(ENGINE, BORN_MS, CONNECTED_MS - 1)
    assert not book.is_refuted(ENGINE, BORN_MS, CONNECTED_MS + 1)
    assert not book.is_refuted(ENGINE, BORN_MS + 1, CONNECTED_MS - 1)
    assert not book.is_refuted('desk-2', BORN_MS, CONNECTED_MS - 1)


def test_a_restart_after_a_statement_refutes_nothing_before_it() -> None:
    """Guards against doubt about streams whose engine was asked in time."""
    book = _book(-math.inf)
    book.record_statement(ENGINE, BORN_MS, CONNECTED_MS)
    book.record_statement(ENGINE, BORN_MS + 1, CONNECTED_MS + 10)
    assert not book.is_refuted(ENGINE, BORN_MS, CONNECTED_MS)
    assert book.is_refuted(ENGINE, BORN_MS, CONNECTED_MS + 5)
