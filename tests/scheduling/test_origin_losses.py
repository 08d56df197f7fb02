"""Random losses and changes of owner, checked against what really ran."""

import random
from typing import NamedTuple

import pytest

from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.stream_origins import OriginBook
from tests.scheduling.engine_cell_factories import (
    always_certain,
    engine,
    make_request,
)

INSTANCES = 5
SUCCESSORS = 2
STEPS = 200
VERSIONS = ('v1', 'v2')


class _Fleet:
    """Books of a fleet whose instances are lost and cut off at random."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        # What each instance takes the engines for.
        self.listed = [self._list_engines() for _ in range(INSTANCES)]
        self.books = [self._make_book() for _ in range(INSTANCES)]
        self.reported: dict[tuple[int, int], int] = {}
        # The version whose events the caller of each stream has.
        self.streams: dict[str, str] = {}

    def step(self) -> None:
        self.now += 10
        action = self.rng.choice(
            (self.begin, self.begin, self._report, self._report, self.lose)
        )
        action()

    def ask(self) -> int:
        """Go on with all streams; return how many the owner knows."""
        known = 0
        for request_id, version in self.streams.items():
            request = make_request('again', resumes=request_id)
            if self.books[0].bind(request, self.now, asked_ms=self.now):
                assert request.version == version
                known += 1
        return known

    def report_all(self) -> None:
        """Report as all instances: first to the owner, then as the owner."""
        for sender in range(1, INSTANCES):
            self._send(sender, 0)
        for successor in range(1, SUCCESSORS + 1):
            self._send(0, successor)

    def begin(self) -> None:
        """Grant a stream; its first engine may bring no event."""
        request_id = f'stream-{len(self.streams)}'
        excluded: list[str] = []
        for _ in range(self.rng.choice((1, 1, 2))):
            # Rarely, an instance takes itself for the owner.
            granting = self.rng.choice((0, 0, 0, 0, INSTANCES - 1))
            version = self.rng.choice(VERSIONS)
            request = make_request(
                request_id, resumable_ms=100_000, excluded=list(excluded)
            )
            self.books[granting].record_grant(
                request, engine(version, version=version), self.now
            )
            excluded.append(version)
        began = engine(version, version=version)
        self.books[granting].record_first_event(request_id, began, self.now)
        self.streams[request_id] = version

    def lose(self) -> None:
        """Restart some instances, which lose their books."""
        for lost in self.rng.sample(range(INSTANCES), self.rng.choice((1, 2))):
            self.listed[lost] = self._list_engines()
            self.books[lost] = self._make_book()
            for pair in tuple(self.reported):
                if lost in pair:
                    self.reported.pop(pair)
            for book in self.books:
                book.forget_source(f'{lost}')

    def _make_book(self) -> OriginBook:
        book = OriginBook(always_certain)
        book.update_engines(self._list_engines(), self.now)
        return book

    def _list_engines(self) -> list[Engine]:
        return [engine(version, version=version) for version in VERSIONS]

    def _report(self) -> None:
        """Report as the owner and as another instance, unless cut off."""
        for successor in range(1, SUCCESSORS + 1):
            self._send(0, successor)
        self._send(self.rng.randrange(1, INSTANCES), 0)

    def _send(self, sender: int, receiver: int) -> None:
        since = self.reported.get((sender, receiver), 0)
        book = self.books[sender]
        self.books[receiver].merge(
            book.changed_since(since, f'{receiver}', self.now),
            f'{sender}',
            self.now,
        )
        self.reported[sender, receiver] = book.sequence


@pytest.mark.parametrize('seed', range(30))
def test_owner_knows_the_version_that_ran_or_none(seed: int) -> None:
    """Guards against a version that a lost or late report has changed."""
    fleet = _Fleet(seed)
    for _ in range(STEPS):
        fleet.step()
        fleet.ask()
    assert fleet.streams


def test_reported_origins_outlast_losses_of_two() -> None:
    """Guards against origins that are known and then forgotten."""
    fleet = _Fleet(0)
    for _ in range(STEPS // 5):
        fleet.begin()
        fleet.report_all()
        fleet.lose()
        fleet.report_all()
        assert fleet.ask() == len(fleet.streams)


class _Incarnation(NamedTuple):
    born_ms: int
    version: str
    since_ms: float


class _RestartingFleet(_Fleet):
    """A fleet whose engines start again while instances list them as before."""

    def __init__(self, seed: int) -> None:
        self.ran = {name: [_Incarnation(1, name, 0)] for name in VERSIONS}
        super().__init__(seed)

    def step(self) -> None:
        super().step()
        if self.rng.random() < 0.1:
            self._restart()
        if self.rng.random() < 0.2:
            self._read_list()

    def begin(self) -> None:
        request_id = f'stream-{len(self.streams)}'
        granting = self.rng.choice((0, 0, 0, 0, INSTANCES - 1))
        listed = self.rng.choice(self.listed[granting])
        request = make_request(request_id, resumable_ms=100_000)
        book = self.books[granting]
        book.record_grant(request, listed, self.now)
        running = self.ran[listed.name][-1]
        is_stated = self.rng.random() < 0.5
        book.record_first_event(
            request_id,
            listed,
            self.now,
            is_certain=running.born_ms == listed.born_ms if is_stated else None,
        )
        self.streams[request_id] = running.version

    def _make_book(self) -> OriginBook:
        book = OriginBook(self._is_certain)
        book.update_engines(self._list_engines(), self.now)
        return book

    def _list_engines(self) -> list[Engine]:
        return [
            engine(name, born_ms=ran[-1].born_ms, version=ran[-1].version)
            for name, ran in self.ran.items()
        ]

    def _restart(self) -> None:
        name = self.rng.choice(VERSIONS)
        version = self.rng.choice(VERSIONS)
        ran = self.ran[name]
        ran.append(_Incarnation(len(ran) + 1, version, self.now))

    def _read_list(self) -> None:
        reader = self.rng.randrange(INSTANCES)
        self.listed[reader] = self._list_engines()
        self.books[reader].update_engines(self.listed[reader], self.now)

    def _is_certain(self, name: str, born_ms: int, at_ms: float) -> bool:
        """Answer from what has run, if a process happens to have evidence."""
        running = [each for each in self.ran[name] if each.since_ms <= at_ms]
        has_evidence = self.rng.random() < 0.5
        return has_evidence and running[-1].born_ms == born_ms


@pytest.mark.parametrize('seed', range(30))
def test_stale_entry_of_a_restarted_engine_joins_no_stream(seed: int) -> None:
    """Guards against the version of an entry that is not of who ran."""
    fleet = _RestartingFleet(seed)
    known = 0
    for _ in range(STEPS):
        fleet.step()
        known += fleet.ask()
    assert known
