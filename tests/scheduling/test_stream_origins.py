"""Tests of what is known about the version that began a stream."""

import math

import pytest

from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.stream_origins import OriginBook
from hornbeamdeck.scheduling.version_history import HISTORY_MS, VersionHistory
from hornbeamdeck.wire import Enqueue
from tests.scheduling.engine_cell_factories import (
    always_certain,
    engine,
    make_request,
)

OLD = engine('old', version='v1')
NEW = engine('new', version='v2')


def _book(*versions: str) -> OriginBook:
    book = OriginBook(always_certain)
    book.history.add_earlier((), 0)
    book.history.confirm_recorded(math.inf)
    listed = [engine(f'of-{each}', version=each) for each in versions]
    book.update_engines(listed, 0)
    return book


def _grant(
    book: OriginBook, request_id: str, to: Engine = OLD, **changes: object
) -> None:
    request = make_request(request_id, resumable_ms=10_000, **changes)
    book.record_grant(request, to, 0)


def _begin(
    book: OriginBook, request_id: str, at: Engine = OLD, **changes: object
) -> None:
    _grant(book, request_id, at, **changes)
    book.record_first_event(request_id, at, 0)


def _version(book: OriginBook, now: float = 0, **changes: object) -> str | None:
    request: Enqueue = make_request('again', **{'resumes': 'first', **changes})
    is_bound = book.bind(request, now, asked_ms=now)
    assert is_bound == (request.version is not None)
    return str(request.version) if is_bound else None


def test_version_of_the_first_event_is_found() -> None:
    book = _book('v1', 'v2')
    _begin(book, 'first')
    assert _version(book) == 'v1'


def test_version_of_a_grant_without_an_event_is_not_used() -> None:
    """Guards against an engine whose successor began the stream."""
    book = _book('v1', 'v2')
    _grant(book, 'first')
    assert _version(book) is None


def test_later_engine_of_the_same_request_counts() -> None:
    """Guards against the version of an engine that has brought no event."""
    book = _book('v1', 'v2')
    _grant(book, 'first')
    _begin(book, 'first', NEW, excluded=['old'])
    assert _version(book) == 'v2'


def test_second_engine_of_a_response_leaves_the_stream_begun() -> None:
    """Guards against a stream that is forgotten while it changes engines."""
    book = _book('v1', 'v2')
    _begin(book, 'first')
    _grant(book, 'first', OLD, version='v1', excluded=['gone'])
    assert _version(book) == 'v1'


def test_first_event_counts_where_only_an_earlier_grant_is_known() -> None:
    """Guards against an owner who is told of a run that it did not grant."""
    book = _book('v1', 'v2')
    _grant(book, 'first')
    book.record_first_event('first', NEW, 0)
    assert _version(book) == 'v2'


@pytest.mark.parametrize('named', ['', 'unknown'])
def test_unknown_stream_goes_on_only_while_there_is_one_version(
    named: str,
) -> None:
    """Guards against guessing between two versions."""
    assert _version(_book('v1'), resumes=named) == 'v1'
    assert _version(_book('v1', 'v2'), resumes=named) is None


@pytest.mark.parametrize(
    ('recorded_ms', 'listed_ms', 'version'),
    [(99, 100, None), (100, 99, None), (100, 100, 'v1')],
)
def test_unknown_stream_goes_on_only_if_the_store_was_asked_since(
    recorded_ms: float, listed_ms: float, version: str | None
) -> None:
    """Guards against a guess by what the store held before a stream began."""
    book = OriginBook(always_certain, lambda: 1.0, lambda: listed_ms)
    book.history.add_earlier((), 0)
    book.update_engines([OLD], 0)
    book.history.confirm_recorded(recorded_ms)
    request = make_request('again', resumes='first')
    assert book.learnable_until_ms(request, 100) > 100
    book.bind(request, 120, asked_ms=100)
    assert request.version == version


def test_instance_that_is_cut_off_does_not_guess() -> None:
    """Guards against a version that an instance without peers has missed."""
    book = OriginBook(always_certain, lambda: 0.4)
    book.history.add_earlier((), 0)
    book.history.confirm_recorded(math.inf)
    book.update_engines([OLD], 0)
    assert _version(book) is None
    _begin(book, 'first')
    assert _version(book) == 'v1'


@pytest.mark.parametrize(
    ('confirmed_ms', 'age_ms'),
    [(500, 1500), (-math.inf, HISTORY_MS), (math.inf, 0)],
)
def test_logs_tell_how_old_the_list_of_a_decision_was(
    confirmed_ms: float, age_ms: int
) -> None:
    """Guards against a take-up whose owner can't be seen to be out of step."""
    book = OriginBook(always_certain, lambda: 0.75, lambda: confirmed_ms)
    fields = book.describe(make_request('second', resumes='first'), 2000)
    assert fields['engines_age_ms'] == age_ms
    assert fields['fleet_share'] == 0.75


def test_stream_of_another_team_is_unknown() -> None:
    """Guards against learning anything of another team's stream."""
    book = _book('v1', 'v2')
    _begin(book, 'first', team='others')
    assert _version(book) is None


def test_origin_is_dropped_after_its_callers_deadline() -> None:
    """Guards against a book that grows with the day."""
    book = _book('v1', 'v2')
    _begin(book, 'first')
    assert _version(book, 9000) == 'v1'
    assert _version(book, 11_000) is None
    request = make_request('next', resumable_ms=9000)
    book.record_grant(request, NEW, 11_000)
    assert len(book) == 1


def test_first_event_after_the_callers_deadline_is_dropped() -> None:
    """Guards against a message that stops an owner whose book is empty."""
    book = _book('v1', 'v2')
    _grant(book, 'first')
    book.record_first_event('first', OLD, 11_000)
    assert not len(book)


def test_stream_that_cannot_be_resumed_is_not_recorded() -> None:
    book = _book('v1')
    book.record_grant(make_request('first'), OLD, 0)
    assert not len(book)


def test_flood_of_streams_drops_the_oldest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a flood of streams that fills the memory."""
    monkeypatch.setattr(f'{OriginBook.__module__}.MAX_ORIGINS', 3)
    book = _book('v1', 'v2')
    for number in range(5):
        _begin(book, f'{number}')
    assert len(book) == 3
    assert _version(book, resumes='4') == 'v1'
    assert _version(book, resumes='1') is None


def test_restart_at_another_version_leaves_its_streams_in_doubt() -> None:
    """Guards against runs of a restarted engine under its old version."""
    book = _book('v1')
    book.update_engines([OLD], 0)
    _begin(book, 'first')
    book.update_engines([], 10)
    book.update_engines([OLD._replace(version='v2')], 20)
    assert _version(book, 30) is None
    within_response = make_request('first', version='v1')
    assert not book.bind(within_response, 30, asked_ms=30)


def test_report_reaches_another_book_once() -> None:
    """Guards against reports that are sent again and again."""
    owner, successor = _book('v1', 'v2'), _book('v1', 'v2')
    _begin(owner, 'first')
    reported = owner.changed_since(0, 'b', 0)
    successor.merge(reported, 'a', 0)
    assert _version(successor) == 'v1'
    assert not owner.changed_since(owner.sequence, 'b', 0)
    assert not successor.changed_since(0, 'a', 0)


def test_restarted_owner_is_told_what_it_had_reported() -> None:
    """Guards against taking a restarted instance for its predecessor."""
    owner, successor = _book('v1', 'v2'), _book('v1', 'v2')
    _begin(owner, 'first')
    successor.merge(owner.changed_since(0, 'b', 0), 'a', 0)
    successor.forget_source('a')
    assert len(successor.changed_since(0, 'a', 0)) == 1


def test_first_event_is_reported_after_its_grant() -> None:
    """Guards against successors that know the grant and not the event."""
    owner, successor = _book('v1', 'v2'), _book('v1', 'v2')
    _grant(owner, 'first')
    successor.merge(owner.changed_since(0, 'b', 0), 'a', 0)
    reported = owner.sequence
    owner.record_first_event('first', OLD, 0)
    successor.merge(owner.changed_since(reported, 'b', 0), 'a', 0)
    assert _version(successor) == 'v1'


def test_two_owners_that_differ_leave_a_stream_in_doubt() -> None:
    """Guards against choosing between grants of two owners."""
    owner, other = _book('v1', 'v2'), _book('v1', 'v2')
    _begin(owner, 'first')
    _begin(other, 'first', NEW)
    owner.merge(other.changed_since(0, 'b', 0), 'a', 0)
    assert _version(owner) is None
    other.merge(owner.changed_since(0, 'a', 0), 'b', 0)
    assert _version(other) is None


def test_older_report_does_not_replace_a_later_attempt() -> None:
    """Guards against reports that arrive late."""
    owner, former = _book('v1', 'v2'), _book('v1', 'v2')
    _grant(former, 'first')
    _grant(owner, 'first', NEW, excluded=['old'])
    owner.record_first_event('first', NEW, 0)
    owner.merge(former.changed_since(0, 'b', 0), 'a', 0)
    assert _version(owner) == 'v2'


def test_history_that_begins_late_names_no_only_version() -> None:
    """Guards against a restarted fleet that forgets which versions served."""
    history = VersionHistory()
    history.update(['v1'], 0)
    assert history.only_version(0) is None
    history.update(['v1'], HISTORY_MS)
    assert history.only_version(HISTORY_MS) == 'v1'


def test_history_keeps_versions_that_have_gone() -> None:
    """Guards against streams of a version whose last engine has left."""
    history = VersionHistory()
    history.add_earlier(['v0'], 0)
    history.update(['v1'], 0)
    history.update(['v1'], HISTORY_MS + 1)
    assert history.only_version(HISTORY_MS + 1) == 'v1'
    history.update(['v2'], 2 * HISTORY_MS)
    assert history.only_version(2 * HISTORY_MS) is None
    assert history.versions(2 * HISTORY_MS) == {'v1', 'v2'}
    assert history.only_version(3 * HISTORY_MS + 1) == 'v2'


RESTARTED = OLD._replace(born_ms=2, version='v2')
SAME_VERSION = OLD._replace(born_ms=2)


class _Evidence:
    """What a process can tell of incarnations; nothing at first."""

    def __init__(self) -> None:
        self.until_ms = -math.inf
        self.asked: list[tuple[str, int, float]] = []

    def is_certain(self, name: str, born_ms: int, at_ms: float) -> bool:
        self.asked.append((name, born_ms, at_ms))
        return born_ms == 1 and at_ms <= self.until_ms


def _uncertain_book(evidence: _Evidence) -> OriginBook:
    """Create a book with two versions, whose entries may be stale."""
    book = OriginBook(evidence.is_certain)
    book.history.add_earlier((), 0)
    book.update_engines([OLD, NEW], 0)
    return book


def _resumed() -> Enqueue:
    return make_request('again', resumes='first')


def test_stream_is_unknown_until_its_incarnation_is_certain() -> None:
    """Guards against an entry that describes an earlier incarnation."""
    evidence = _Evidence()
    book = _uncertain_book(evidence)
    _begin(book, 'first')
    assert _version(book, 100) is None
    assert evidence.asked[-1] == ('old', 1, 0)
    evidence.until_ms = 0
    assert _version(book, 200) == 'v1'


def test_stream_that_was_certain_stays_certain() -> None:
    """Guards against forgetting evidence that an outage makes void."""
    evidence = _Evidence()
    book = _uncertain_book(evidence)
    _begin(book, 'first')
    evidence.until_ms = 0
    book.settle(600)
    evidence.until_ms = -math.inf
    assert _version(book, 700) == 'v1'


@pytest.mark.parametrize('restarted', [RESTARTED, SAME_VERSION])
def test_uncertain_stream_of_a_restarted_engine_stays_unknown(
    restarted: Engine,
) -> None:
    """Guards against an engine that ran another version in between."""
    evidence = _Evidence()
    book = _uncertain_book(evidence)
    _begin(book, 'first')
    book.update_engines([restarted, NEW], 100)
    evidence.until_ms = math.inf
    assert _version(book, 200) is None
    assert book.learnable_until_ms(_resumed(), 200) == -math.inf
    bound = make_request('first', version='v1')
    assert not book.bind(bound, 200, asked_ms=200)


@pytest.mark.parametrize('restarted', [RESTARTED, SAME_VERSION])
def test_certain_stream_of_a_restarted_engine_keeps_its_version(
    restarted: Engine,
) -> None:
    """Guards against refusing streams that an engine had made for long."""
    evidence = _Evidence()
    book = _uncertain_book(evidence)
    _begin(book, 'first')
    _begin(book, 'later')
    book.record_first_event('later', OLD, 10, is_certain=True)
    evidence.until_ms = 0
    book.update_engines([restarted, NEW], 100)
    evidence.until_ms = -math.inf
    assert _version(book, 200) == 'v1'
    assert _version(book, 200, resumes='later') == 'v1'


def test_stream_of_an_incarnation_that_is_listed_late_is_not_in_doubt() -> None:
    """Guards against a report of another owner that has read a newer entry."""
    evidence = _Evidence()
    book, other = _uncertain_book(evidence), _uncertain_book(evidence)
    _begin(other, 'first', RESTARTED)
    book.merge(other.changed_since(0, 'a', 0), 'b', 0)
    book.update_engines([RESTARTED, NEW], 100)
    assert book.learnable_until_ms(_resumed(), 100) > 100


@pytest.mark.parametrize('has_ended', [False, True])
def test_certainty_may_be_reported_after_the_first_event(
    has_ended: bool,
) -> None:
    """Guards against an answer of the engine that comes after a break."""
    book = _uncertain_book(_Evidence())
    _begin(book, 'first')
    told = book.sequence
    book.record_first_event(
        'first', None if has_ended else OLD, 20, is_certain=True
    )
    assert _version(book, 100) == 'v1'
    reported = book.changed_since(told, 'b', 100)
    assert [each.is_certain for each in reported] == [True]


def test_certainty_of_a_grant_by_another_owner_is_not_taken() -> None:
    """Guards against another entry than the one that the grant named."""
    book = _uncertain_book(_Evidence())
    _grant(book, 'first')
    book.record_first_event('first', NEW, 0, is_certain=True)
    assert _version(book, 100) is None


def test_certainty_of_such_a_grant_is_not_taken_later_either() -> None:
    """Guards against the same in a report after the first event."""
    book = _uncertain_book(_Evidence())
    _grant(book, 'first')
    book.record_first_event('first', NEW, 0)
    book.record_first_event('first', NEW, 3, is_certain=True)
    assert _version(book, 100) is None


def test_repeated_first_event_changes_nothing() -> None:
    """Guards against reports that are sent again and again."""
    book = _uncertain_book(_Evidence())
    _begin(book, 'first')
    told = book.sequence
    book.record_first_event('first', OLD, 50)
    assert book.sequence == told
    book.record_first_event('first', OLD, 50, is_certain=True)
    told = book.sequence
    book.record_first_event('first', OLD, 90, is_certain=True)
    assert book.sequence == told


def test_successor_learns_what_is_certain() -> None:
    """Guards against certainty that is lost with the owner."""
    evidence = _Evidence()
    owner, successor = _uncertain_book(evidence), _uncertain_book(_Evidence())
    _begin(owner, 'first')
    successor.merge(owner.changed_since(0, 'b', 0), 'a', 0)
    assert _version(successor, 100) is None
    told = owner.sequence
    evidence.until_ms = 0
    owner.settle(1000)
    successor.merge(owner.changed_since(told, 'b', 1000), 'a', 1000)
    assert _version(successor, 1100) == 'v1'


def test_successor_finds_evidence_itself() -> None:
    """Guards against a first event that seems earlier after a report."""
    evidence = _Evidence()
    owner, successor = _uncertain_book(_Evidence()), _uncertain_book(evidence)
    _begin(owner, 'first')
    successor.merge(owner.changed_since(0, 'b', 300), 'a', 5300)
    assert _version(successor, 5400) is None
    assert evidence.asked[-1] == ('old', 1, 5000)
    evidence.until_ms = 5000
    assert _version(successor, 5500) == 'v1'


def test_report_without_an_incarnation_is_not_certain() -> None:
    """Guards against the origins of an instance without evidence."""
    evidence = _Evidence()
    evidence.until_ms = math.inf
    book = _uncertain_book(evidence)
    _begin(book, 'first')
    reported = book.changed_since(0, 'b', 0)
    for each in reported:
        each.born_ms = None
        each.begun_age_ms = None
        each.is_certain = None
    successor = _uncertain_book(evidence)
    successor.merge(reported, 'a', 0)
    assert _version(successor, 100) is None


def test_owners_with_entries_of_two_incarnations_leave_a_stream_unknown() -> (
    None
):
    """Guards against evidence for one of two engines that may have run."""
    evidence = _Evidence()
    owner, other = _uncertain_book(evidence), _uncertain_book(evidence)
    _begin(owner, 'first')
    _begin(other, 'first', SAME_VERSION)
    evidence.until_ms = math.inf
    owner.merge(other.changed_since(0, 'b', 0), 'a', 0)
    assert _version(owner, 100) is None


def test_stream_that_went_on_is_certain() -> None:
    """Guards against asking twice for the version of one stream."""
    book = _uncertain_book(_Evidence())
    _grant(book, 'second', OLD, version='v1', resumes='first')
    assert _version(book, 100, resumes='second') == 'v1'


def test_evidence_by_the_list_is_awaited_for_a_while() -> None:
    """Guards against callers who wait for what can't be learned any more."""
    book = _uncertain_book(_Evidence())
    assert book.learnable_until_ms(_resumed(), 0) == -math.inf
    _begin(book, 'first')
    for asked_ms, until_ms in (
        (500, 1200),
        (2499, 3199),
        (2500, 5000),
        (4900, 5600),
        (6000, 6700),
    ):
        assert book.learnable_until_ms(_resumed(), asked_ms) == until_ms
    # Only the instance that relays it may still have asked.
    book.update_engines([NEW], 500)
    assert book.learnable_until_ms(_resumed(), 500) == 700


def _single_version_book() -> OriginBook:
    book = OriginBook(_Evidence().is_certain)
    book.history.add_earlier((), 0)
    book.history.confirm_recorded(math.inf)
    book.update_engines([OLD], 0)
    return book


def test_another_start_shows_that_not_all_versions_are_known() -> None:
    """Guards against a guess where a version was never listed."""
    book = _single_version_book()
    assert _version(book, resumes='unknown') == 'v1'
    _begin(book, 'first')
    book.record_first_event('first', None, 10, is_certain=False)
    # What the store holds does not name it either.
    book.history.add_earlier(['v1'], 20)
    for request_id in ('first', 'unknown'):
        assert _version(book, 30, resumes=request_id) is None
    assert not book.history.is_complete(9 + HISTORY_MS)
    assert _version(book, 10 + HISTORY_MS, resumes='unknown') == 'v1'


def test_successor_learns_that_not_all_versions_are_known() -> None:
    """Guards against a guess by an owner whose predecessor knew better."""
    book, successor = _single_version_book(), _single_version_book()
    _begin(book, 'first')
    successor.merge(book.changed_since(0, 'b', 5), 'a', 5)
    assert successor.history.is_complete(5)
    book.record_first_event('first', None, 10, is_certain=False)
    for _ in range(2):
        successor.merge(book.changed_since(0, 'b', 20), 'a', 20)
    assert not successor.history.is_complete(20)
    assert _version(successor, 20, resumes='first') is None
    assert _version(successor, 20 + HISTORY_MS, resumes='unknown') == 'v1'


def test_another_start_takes_back_no_evidence() -> None:
    """Guards against doubt about a stream that is certain already."""
    book = _single_version_book()
    _begin(book, 'first')
    book.record_first_event('first', OLD, 5, is_certain=True)
    book.record_first_event('first', OLD, 10, is_certain=False)
    assert _version(book, 20, resumes='first') == 'v1'
