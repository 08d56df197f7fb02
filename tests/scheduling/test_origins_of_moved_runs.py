"""Tests of streams whose runs another owner has granted."""

import math

from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.wire import Progress, Register, StreamOrigin
from tests.scheduling.engine_cell_factories import (
    engine,
    enqueue,
    granted,
    make_cell,
    make_request,
)


def _out_of_step_cell() -> EngineCell:
    """Create a cell that does not know that its engine runs v2 by now."""
    listed = engine('restarted', version='v1')
    cell = make_cell(listed, is_certain=lambda _engine, _born_ms, _at_ms: False)
    cell.origins.update_engines([listed], 0)
    cell.origins.history.add_earlier((), 0)
    cell.origins.history.confirm_recorded(math.inf)
    return cell


def _progress(*, is_certain: bool | None) -> Progress:
    """Report a stream of the incarnation that another owner has granted."""
    return Progress(
        request_id='first',
        cell='desk',
        first_token_ms=20,
        is_certain=is_certain,
        upstream='restarted',
        version='v2',
        born_ms=2,
    )


def _bound_version(cell: EngineCell) -> str | None:
    request = make_request('again', resumes='first')
    cell.origins.bind(request, 100, asked_ms=100)
    return None if request.version is None else str(request.version)


def _grant_and_move_back(cell: EngineCell) -> None:
    enqueue(cell, make_request('first', resumable_ms=9000))
    assert granted(cell) == [('first', 'restarted')]
    cell.remove_sender('s')
    run = Register(
        request_id='first',
        cell='desk',
        upstream='restarted',
        prompt_tokens=600,
        output_tokens=100,
        is_prefilling=True,
        fingerprint='first',
    )
    cell.register(run, 's')


def _report_origin(cell: EngineCell, version: str, *, born_ms: int) -> None:
    """Report the origin of the stream, as another owner knows it."""
    reported = StreamOrigin(
        request_id='first',
        team='guides',
        upstream='restarted',
        attempt=0,
        left_ms=9000,
        version=version,
        is_begun=True,
        born_ms=born_ms,
        begun_age_ms=5,
    )
    cell.origins.merge([reported], 'owner', 10)


def test_own_unused_grant_is_not_taken_for_that_of_another_owner() -> None:
    """Guards against a stream of v2 that is certain to be of v1."""
    cell = _out_of_step_cell()
    _grant_and_move_back(cell)
    cell.progress(_progress(is_certain=True), 20)
    assert _bound_version(cell) == 'v2'


def test_evidence_that_follows_the_first_event_counts_for_its_grant() -> None:
    """Guards against the same where the engine is asked meanwhile."""
    cell = _out_of_step_cell()
    _grant_and_move_back(cell)
    cell.progress(_progress(is_certain=None), 20)
    cell.progress(_progress(is_certain=True), 40)
    assert _bound_version(cell) == 'v2'


def test_evidence_of_another_incarnation_proves_no_reported_origin() -> None:
    """Guards against a stale entry that an owner has reported."""
    cell = _out_of_step_cell()
    _report_origin(cell, 'v1', born_ms=1)
    cell.progress(_progress(is_certain=True), 20)
    assert _bound_version(cell) is None


def test_evidence_of_the_reported_incarnation_proves_its_origin() -> None:
    """Guards against streams that are unknown at each successor."""
    cell = _out_of_step_cell()
    _report_origin(cell, 'v2', born_ms=2)
    cell.progress(_progress(is_certain=True), 20)
    assert _bound_version(cell) == 'v2'
