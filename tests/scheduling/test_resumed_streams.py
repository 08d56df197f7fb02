"""Tests of a cell where streams go on while two versions serve."""

import pytest

from hornbeamdeck.scheduling.cell import Refused
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.stream_origins import OriginBook, OriginQuestion
from hornbeamdeck.wire import (
    Progress,
    RefusalReason,
    Register,
    Release,
    RunEnd,
)
from tests.scheduling.engine_cell_factories import (
    MODEL,
    always_certain,
    engine,
    enqueue,
    granted,
    make_cell,
    make_request,
)


def _cell(*versions: str) -> EngineCell:
    """Create a cell with an engine of one slot for each version."""
    engines = [
        engine(f'of-{version}', slots=1, version=version)
        for version in versions
    ]
    cell = make_cell(*engines)
    cell.origins.update_engines(engines, 0)
    cell.origins.history.add_earlier((), 0)
    return cell


def _begin(cell: EngineCell, request_id: str) -> None:
    """Report the first token of a run."""
    message = Progress(request_id=request_id, cell='desk', first_token_ms=20)
    cell.progress(message, 0)


def _reason(refused: object) -> RefusalReason:
    assert isinstance(refused, Refused)
    return RefusalReason(refused.refusal.reason)


def test_stream_waits_for_a_slot_of_its_own_version() -> None:
    """Guards against a free engine of another version taking a stream over."""
    cell = _cell('v1', 'v2')
    enqueue(cell, make_request('first'))
    enqueue(cell, make_request('second'))
    assert len(granted(cell)) == 2
    cell.loads['of-v2'].slots = 9
    enqueue(cell, make_request('third', version='v1', excluded=['gone']))
    assert not granted(cell)


def test_stream_is_refused_when_no_engine_of_its_version_is_left() -> None:
    """Guards against a caller who waits for an engine that never comes."""
    cell = _cell('v1', 'v2')
    request = make_request('broken', version='v1', excluded=['of-v1'])
    assert _reason(enqueue(cell, request)) == RefusalReason.NO_UPSTREAM


def test_stream_of_an_engine_without_a_version_goes_on_at_such_a_one() -> None:
    """Guards against taking an unstated version for any version."""
    cell = _cell('', 'v1')
    request = make_request('unstated', version='', excluded=['gone'])
    enqueue(cell, request)
    assert granted(cell) == [('unstated', 'of-')]


def test_unknown_stream_is_refused_with_a_short_delay() -> None:
    """Guards against a stream that goes on at any version."""
    cell = _cell('v1', 'v2')
    refused = enqueue(cell, make_request('again', resumes='unknown'))
    assert _reason(refused) == RefusalReason.UNKNOWN_STREAM
    assert isinstance(refused, Refused)
    assert refused.refusal.retry_after_ms < 1000


def test_resumed_stream_goes_before_new_requests_of_its_priority() -> None:
    """Guards against new requests that take all slots of its version."""
    cell = _cell('v1')
    enqueue(cell, make_request('first', resumable_ms=9000))
    assert granted(cell) == [('first', 'of-v1')]
    _begin(cell, 'first')
    enqueue(cell, make_request('new', objective_ms=9000))
    enqueue(cell, make_request('urgent', tier_rank=-1, objective_ms=9000))
    enqueue(cell, make_request('again', resumes='first', objective_ms=9000))
    cell.loads['of-v1'].slots = 4
    order = [request_id for request_id, _ in granted(cell)]
    assert order == ['urgent', 'again', 'new']


def test_resumed_stream_is_not_promised_slots_of_another_version() -> None:
    """Guards against admitting streams to slots that they may not use."""
    cell = _cell('v1', 'v2')
    cell.loads['of-v2'].slots = 9
    long_output = {'output_tokens': 50_000, 'resumable_ms': 9000}
    enqueue(cell, make_request('first', version='v1', **long_output))
    assert granted(cell) == [('first', 'of-v1')]
    _begin(cell, 'first')
    again = make_request('again', resumes='first')
    assert _reason(enqueue(cell, again)) == RefusalReason.OVERLOADED


def test_stream_waits_while_the_versions_of_the_past_are_read() -> None:
    """Guards against refusing all streams right after the loss of all."""
    cell = _cell('v1')
    cell.origins = OriginBook(always_certain)
    cell.origins.update_engines([engine('of-v1', version='v1')], 0)
    assert enqueue(cell, make_request('again', resumes='unknown')) is None
    assert not granted(cell, 20)
    cell.origins.history.add_earlier(['v1'], 40)
    cell.origins.history.confirm_recorded(30)
    assert granted(cell, 40) == [('again', 'of-v1')]


def test_stream_is_refused_when_the_versions_of_the_past_stay_unknown() -> None:
    """Guards against a caller who waits for a store that does not respond."""
    cell = _cell('v1')
    cell.origins = OriginBook(always_certain)
    enqueue(cell, make_request('again', resumes='unknown'))
    assert len(list(cell.refuse_expired(1000))) == 1


def test_unrecorded_version_waits_while_another_serves() -> None:
    """Guards against streams of a version that only lost processes knew."""
    cell = _cell('v1', 'v2')
    cell.origins.history.apply_recorded(['v1'])
    for number in range(2):
        enqueue(cell, make_request(f'{number}'))
    assert granted(cell) == [('0', 'of-v1')]
    cell.origins.history.apply_recorded(['v1', 'v2'])
    assert granted(cell, 30) == [('1', 'of-v2')]


def test_unrecorded_version_is_used_if_the_store_takes_no_writes() -> None:
    """Guards against engines that stay unused for a whole outage."""
    cell = _cell('v1', 'v2')
    cell.origins.history.apply_recorded(['v1'])
    for number in range(2):
        enqueue(cell, make_request(f'{number}', objective_ms=9000))
    assert len(granted(cell)) == 1
    assert granted(cell, 1000) == [('1', 'of-v2')]


def test_resumable_stream_waits_until_its_version_is_recorded() -> None:
    """Guards against streams of a version that no later owner can know."""
    cell = _cell('v1', 'v2')
    cell.origins.history.apply_recorded(['v1'])
    for number in range(2):
        enqueue(
            cell,
            make_request(f'{number}', objective_ms=90_000, resumable_ms=90_000),
        )
    assert granted(cell) == [('0', 'of-v1')]
    assert not granted(cell, 60_000)
    cell.origins.history.apply_recorded(['v1', 'v2'])
    assert granted(cell, 60_030) == [('1', 'of-v2')]


def test_unrecorded_version_serves_if_it_is_the_only_one() -> None:
    """Guards against a service that stops while its record is written."""
    cell = _cell('v2')
    cell.origins.history.apply_recorded(['v1'])
    enqueue(cell, make_request('0'))
    assert granted(cell) == [('0', 'of-v2')]


def test_unrecorded_version_serves_while_the_others_leave() -> None:
    """Guards against refusals when the last engine of a version leaves."""
    cell = _cell('v1', 'v2')
    leaving = engine('of-v1', slots=1, version='v1', is_draining=True)
    cell.update_engines([leaving, cell.loads['of-v2'].engine], MODEL, {})
    cell.origins.history.apply_recorded(['v1'])
    assert enqueue(cell, make_request('0')) is None
    assert granted(cell) == [('0', 'of-v2')]


def test_unrecorded_version_serves_who_has_tried_the_others() -> None:
    """Guards against requests that wait for engines which they exclude."""
    cell = _cell('v1', 'v2')
    cell.origins.history.apply_recorded(['v1'])
    assert enqueue(cell, make_request('0', excluded=['of-v1'])) is None
    assert granted(cell) == [('0', 'of-v2')]


def test_stream_goes_on_at_its_version_before_that_is_recorded() -> None:
    """Guards against streams that wait for a record which they don't need."""
    cell = _cell('v1', 'v2')
    cell.origins.history.apply_recorded(['v1'])
    assert enqueue(cell, make_request('0', version='v2')) is None
    assert granted(cell) == [('0', 'of-v2')]


def test_stream_is_refused_at_once_where_the_record_proves_nothing() -> None:
    """Guards against callers who wait for what the store does not hold."""
    cell = _cell('v1')
    cell.origins = OriginBook(always_certain)
    cell.origins.update_engines([engine('of-v1', version='v1')], 0)
    cell.origins.history.add_earlier((), 0, is_complete=False)
    refused = enqueue(cell, make_request('again', resumes='unknown'))
    assert _reason(refused) == RefusalReason.UNKNOWN_STREAM


def _begun_cell(evidence: list[str], slots: int = 9) -> EngineCell:
    """Create a cell of two versions where v1 has begun the stream `first`.

    :param evidence: names of the engines whose incarnations are certain.
    """
    engines = [
        engine(f'of-{version}', slots=slots, version=version)
        for version in ('v1', 'v2')
    ]
    cell = make_cell(
        *engines, is_certain=lambda name, _born_ms, _at_ms: name in evidence
    )
    cell.origins.update_engines(engines, 0)
    cell.origins.history.add_earlier((), 0)
    enqueue(cell, make_request('first', resumable_ms=9000, excluded=['of-v2']))
    assert granted(cell) == [('first', 'of-v1')]
    _begin(cell, 'first')
    return cell


def _refusals(cell: EngineCell, now: float) -> list[RefusalReason]:
    return [_reason(refused) for refused in cell.refuse_expired(now)]


def test_stream_waits_until_its_incarnation_is_certain() -> None:
    """Guards against going on at the version of a stale entry."""
    evidence: list[str] = []
    cell = _begun_cell(evidence)
    assert enqueue(cell, make_request('again', resumes='first'), 2600) is None
    assert not granted(cell, 2600)
    assert not _refusals(cell, 3900)
    assert not granted(cell, 3900)
    evidence.append('of-v1')
    assert granted(cell, 3925) == [('again', 'of-v1')]


def test_stream_goes_on_once_its_instance_reports_the_incarnation() -> None:
    """Guards against a report that comes after its first event."""
    cell = _begun_cell([])
    enqueue(cell, make_request('again', resumes='first'), 100)
    assert not granted(cell, 100)
    message = Progress(
        request_id='first', cell='desk', first_token_ms=20, is_certain=True
    )
    cell.progress(message, 110)
    assert granted(cell, 110) == [('again', 'of-v1')]


def test_stream_is_refused_when_its_incarnation_stays_uncertain() -> None:
    """Guards against callers who wait while the store is away."""
    cell = _begun_cell([])
    enqueue(cell, make_request('again', resumes='first'), 2600)
    assert not _refusals(cell, 4990)
    assert _refusals(cell, 5030) == [RefusalReason.UNKNOWN_STREAM]


@pytest.mark.parametrize('enqueued_ms', [100, 6000])
def test_stream_waits_for_its_engine_alone_if_the_list_shows_nothing(
    enqueued_ms: int,
) -> None:
    """Guards against waiting for evidence that can't come."""
    cell = _begun_cell([])
    enqueue(cell, make_request('again', resumes='first'), enqueued_ms)
    assert not _refusals(cell, enqueued_ms + 690)
    refused = _refusals(cell, enqueued_ms + 730)
    assert refused == [RefusalReason.UNKNOWN_STREAM]


def test_uncertain_stream_whose_engine_is_gone_is_refused_at_once() -> None:
    """Guards against waiting for an engine that can't be asked."""
    cell = _begun_cell([])
    cell.origins.update_engines([], 200)
    refused = enqueue(cell, make_request('again', resumes='first'), 2600)
    assert _reason(refused) == RefusalReason.UNKNOWN_STREAM


def test_uncertain_stream_does_not_outwait_its_caller() -> None:
    """Guards against a refusal that comes after its caller has left."""
    cell = _begun_cell([])
    request = make_request('again', resumes='first', patience_ms=700)
    enqueue(cell, request, 2600)
    assert not _refusals(cell, 3290)
    assert _refusals(cell, 3330) == [RefusalReason.UNKNOWN_STREAM]


def test_stream_waits_for_a_slot_once_its_incarnation_is_certain() -> None:
    """Guards against a refusal for what was not known in the beginning."""
    evidence: list[str] = []
    cell = _begun_cell(evidence, slots=1)
    cell.loads['of-v2'].slots = 9
    request = make_request('again', resumes='first', objective_ms=3000)
    assert enqueue(cell, request, 2600) is None
    evidence.append('of-v1')
    assert not granted(cell, 3925)
    assert not _refusals(cell, 5100)
    cell.loads['of-v1'].slots = 2
    assert granted(cell, 5150) == [('again', 'of-v1')]


def test_stream_is_refused_at_once_if_no_engine_of_its_version_is_left() -> (
    None
):
    """Guards against waiting for a version that has gone meanwhile."""
    evidence: list[str] = []
    cell = _begun_cell(evidence)
    enqueue(cell, make_request('again', resumes='first'), 100)
    left = [engine('of-v2', slots=9, version='v2')]
    cell.update_engines(left, MODEL, {})
    assert not _refusals(cell, 200)
    evidence.append('of-v1')
    assert not granted(cell, 225)
    assert _refusals(cell, 250) == [RefusalReason.NO_UPSTREAM]


def test_new_streams_begin_without_evidence() -> None:
    """Guards against new streams that wait for evidence."""
    cell = _begun_cell([])
    cell.loads['of-v1'].slots = 0
    enqueue(cell, make_request('new', resumable_ms=9000), 100)
    assert granted(cell, 100) == [('new', 'of-v2')]


def test_streams_that_wait_for_evidence_take_no_places_in_the_queue() -> None:
    """Guards against refusing new streams for others that may not go on."""
    cell = _begun_cell([], slots=1)
    for number in range(50):
        again = make_request(f'again-{number}', resumes='first')
        assert enqueue(cell, again, 100) is None
    assert enqueue(cell, make_request('new', resumable_ms=9000), 100) is None
    assert not _refusals(cell, 100)
    assert granted(cell, 100) == [('new', 'of-v2')]


def test_version_is_learned_while_all_slots_are_taken() -> None:
    """Guards against refusing a known stream for want of a slot."""
    evidence: list[str] = []
    cell = _begun_cell(evidence, slots=1)
    enqueue(cell, make_request('other'), 50)
    assert granted(cell, 50) == [('other', 'of-v2')]
    request = make_request('again', resumes='first', objective_ms=3000)
    assert enqueue(cell, request, 100) is None
    evidence.append('of-v1')
    assert not _refusals(cell, 2490)
    assert not _refusals(cell, 2530)
    cell.loads['of-v1'].slots = 2
    assert granted(cell, 2550) == [('again', 'of-v1')]


def test_a_listed_engine_can_be_asked_about_its_stream() -> None:
    """Guards against questions to an incarnation that did not run a stream."""
    cell = _begun_cell([])
    request = make_request('again', resumes='first')
    question = cell.origins.question(request, 100)
    assert isinstance(question, OriginQuestion)
    assert question.engine == cell.loads['of-v1'].engine
    assert question.begun_ms == 0
    again = cell.loads['of-v1'].engine._replace(born_ms=99)
    for listed in ([], [again]):
        cell.origins.update_engines(listed, 200)
        assert cell.origins.question(request, 200) is None


def _move_run_here(cell: EngineCell, request_id: str, upstream: str) -> None:
    """Register a run that another owner has granted."""
    run = Register(
        request_id=request_id,
        cell='desk',
        upstream=upstream,
        prompt_tokens=10,
        output_tokens=10,
        is_prefilling=True,
        fingerprint='',
    )
    cell.register(run, 's')


@pytest.mark.parametrize('is_certain', [None, True])
def test_stream_is_not_bound_by_an_earlier_grant_of_an_engine_that_restarted(
    is_certain: bool | None,
) -> None:
    """Guards against v1 where another owner granted the engine as v2."""
    cell = _cell('v1')
    enqueue(cell, make_request('first', resumable_ms=9000))
    assert granted(cell) == [('first', 'of-v1')]
    # The instance has moved to another owner meanwhile.
    release = Release(
        request_id='first',
        cell='desk',
        end=RunEnd.CANCELLED,
        total_ms=0,
        is_moved=True,
    )
    cell.release(release, 10)
    _move_run_here(cell, 'first', 'of-v1')
    begun = Progress(
        request_id='first',
        cell='desk',
        first_token_ms=20,
        is_certain=is_certain,
        upstream='of-v1',
        version='v2',
        born_ms=2,
    )
    cell.progress(begun, 100)
    request = make_request('again', resumes='first')
    cell.origins.bind(request, 200, asked_ms=200)
    assert request.version == 'v2'
