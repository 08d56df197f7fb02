"""Engines through the outages of the store that lists them."""

from hornbeamdeck.process.engine_book import EngineBook
from hornbeamdeck.process.store_access import EngineChange
from tests.process.routed import engine

BOTH = (
    EngineChange('e1', engine('e1')),
    EngineChange('e2', engine('e2')),
)


def _known(book: EngineBook, now: float) -> set[str]:
    return set(book.engines(now))


def test_an_entry_that_is_removed_is_gone_at_once() -> None:
    book = EngineBook()
    book.replace(BOTH, {}, 0)
    book.change([EngineChange('e1', None)], 1000)
    assert _known(book, 1000) == {'e2'}


def test_entries_that_lapsed_in_an_outage_are_kept_for_a_moment() -> None:
    """The store was down and its entries lapsed. On its return the list is
    empty though all engines live; they are back within two seconds.
    """
    book = EngineBook()
    book.replace(BOTH, {}, 0)
    book.note_trouble()
    book.replace((), {}, 10_000)
    assert _known(book, 10_500) == {'e1', 'e2'}
    book.change([BOTH[0]], 11_000)
    assert _known(book, 12_500) == {'e1'}


def test_a_leaving_engine_is_not_kept() -> None:
    book = EngineBook()
    leaving = EngineChange('e1', engine('e1', is_leaving=True))
    book.replace([leaving], {}, 0)
    book.note_trouble()
    book.replace((), {}, 10_000)
    assert not _known(book, 10_100)


def test_what_a_peer_told_of_is_kept_as_well() -> None:
    """An instance begins to read for itself right after an outage. What it
    knows came from a peer; the lapsed list must not wipe that out.
    """
    book = EngineBook()
    book.note_trouble()
    book.replace((), {'e1': engine('e1')}, 10_000)
    assert _known(book, 10_100) == {'e1'}
