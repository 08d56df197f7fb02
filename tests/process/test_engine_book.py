"""Engines through the outages of the store that lists them."""

from hornbeamdeck.process.engine_book import AWAY_MS, EngineBook
from hornbeamdeck.process.store_access import EngineChange
from tests.scheduling.routed import engine

BOTH = (
    EngineChange('e1', engine('e1')),
    EngineChange('e2', engine('e2')),
)
KNOWN = {'e1': engine('e1'), 'e2': engine('e2')}


def _known(book: EngineBook, now: float) -> set[str]:
    return set(book.engines(now))


def _book() -> EngineBook:
    """Give a book that has read both engines long ago."""
    book = EngineBook()
    book.replace(BOTH, {}, proof_age_ms=0, now=0)
    return book


def test_an_entry_that_is_removed_is_gone_at_once() -> None:
    book = _book()
    book.change([EngineChange('e1', None)], 1000)
    assert _known(book, 1000) == {'e2'}


def test_entries_that_lapsed_in_an_outage_are_kept_for_a_moment() -> None:
    """The store was down and its entries lapsed. On its return the list is
    empty though all engines live; they are back within two seconds.
    """
    book = _book()
    book.replace((), KNOWN, proof_age_ms=9000, now=10_000)
    assert _known(book, 10_500) == {'e1', 'e2'}
    book.change([BOTH[0]], 11_000)
    assert _known(book, 12_500) == {'e1'}


def test_a_leaving_engine_is_not_kept() -> None:
    book = EngineBook()
    leaving = engine('e1', is_leaving=True)
    book.replace([EngineChange('e1', leaving)], {}, proof_age_ms=0, now=0)
    book.replace((), {'e1': leaving}, proof_age_ms=9000, now=10_000)
    assert not _known(book, 10_100)


def test_what_a_peer_told_of_is_kept_as_well() -> None:
    """An instance begins to read for itself right after an outage. What it
    knows came from a peer; the lapsed list must not wipe that out.
    """
    book = EngineBook()
    known = {'e1': engine('e1')}
    book.replace((), known, proof_age_ms=9000, now=10_000)
    assert _known(book, 10_100) == {'e1'}


def test_one_that_was_turned_away_does_not_bring_back_what_left() -> None:
    """The store turned this instance away for seconds and served its peers.
    One engine left without a word meanwhile; the peers have told of that. Read
    at last, the list must not bring the engine back from an old copy: callers'
    requests would reach it seconds after it had left.
    """
    book = _book()
    told_by_peers = {'e2': engine('e2')}
    book.replace((BOTH[1],), told_by_peers, proof_age_ms=400, now=10_000)
    assert _known(book, 10_000) == {'e2'}


def test_what_leaves_while_only_this_instance_is_turned_away_is_gone() -> None:
    """The same, and the engine leaves so late that no peer has told of it: a
    store that serves the peers was not away, and its list is the truth.
    """
    book = _book()
    book.replace((BOTH[1],), KNOWN, proof_age_ms=AWAY_MS / 2, now=10_000)
    assert _known(book, 10_000) == {'e2'}
