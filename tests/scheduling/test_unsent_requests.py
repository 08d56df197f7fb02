"""Tests of the token limits of teams where granted requests are not sent."""

from hornbeamdeck.scheduling.admission_control import SharedState
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.retry_budget import RetryBudget, RetryRules
from hornbeamdeck.wire import Register, Release, RunEnd
from tests.scheduling.engine_cell_factories import (
    MODEL,
    always_certain,
    engine,
    enqueue,
    granted,
    make_quotas,
    make_request,
    make_team,
)

BURST = 10_000
TEAM = make_team(rate=1, burst=BURST)


def _desk() -> EngineCell:
    """Create a cell whose team may spend a burst, and hardly more."""
    desk = EngineCell(
        SharedState(
            quotas=make_quotas(),
            teams={TEAM.name: TEAM},
            is_certain=always_certain,
        ),
        RetryBudget(RetryRules(0.2, 20, 10_000), lambda _now: 1.0),
    )
    desk.update_engines([engine('e1'), engine('e2')], MODEL, {})
    return desk


def _end(desk: EngineCell, *, is_unsent: bool | None) -> None:
    message = Release(
        request_id='first',
        cell='desk',
        end=RunEnd.CANCELLED,
        total_ms=0,
        is_unsent=is_unsent,
    )
    desk.release(message, 10)


def _has_tokens(desk: EngineCell, tokens: int) -> bool:
    quotas = desk._admission._shared.quotas  # noqa: SLF001
    return quotas.has_tokens(TEAM._replace(burst=tokens), tokens, 10)


def _has_burst(desk: EngineCell) -> bool:
    return _has_tokens(desk, BURST)


def test_request_that_was_never_sent_leaves_its_team_the_tokens() -> None:
    """Guards against teams that are limited for requests that never ran."""
    desk = _desk()
    enqueue(desk, make_request('first', quota_tokens=BURST))
    assert granted(desk)
    assert not _has_burst(desk)
    _end(desk, is_unsent=True)
    assert _has_burst(desk)
    _end(desk, is_unsent=True)
    assert not _has_tokens(desk, 2 * BURST)


def test_request_that_was_sent_counts_however_it_ends() -> None:
    """Guards against a team that runs more than its limit by leaving."""
    desk = _desk()
    enqueue(desk, make_request('first', quota_tokens=BURST))
    assert granted(desk)
    _end(desk, is_unsent=None)
    assert not _has_burst(desk)


def test_request_is_charged_again_when_it_is_granted_again() -> None:
    """Guards against requests that run uncounted after an unused grant."""
    desk = _desk()
    enqueue(desk, make_request('first', quota_tokens=BURST))
    granted(desk)
    _end(desk, is_unsent=True)
    again = make_request('first', quota_tokens=BURST, excluded=['e1'])
    enqueue(desk, again, 10)
    assert granted(desk, 10) == [('first', 'e2')]
    assert not _has_burst(desk)


def test_owner_gives_back_only_what_it_has_charged() -> None:
    """Guards against tokens that two owners give back for one request."""
    desk = _desk()
    enqueue(desk, make_request('other', quota_tokens=BURST))
    assert granted(desk)
    moved = Register(
        request_id='first',
        cell='desk',
        upstream='e2',
        prompt_tokens=600,
        output_tokens=100,
        is_prefilling=True,
        fingerprint='first',
    )
    desk.register(moved, 'ingress')
    _end(desk, is_unsent=True)
    assert not _has_burst(desk)
