"""What callers are told with a refusal."""

from hornbeamdeck.request.outcome import to_response
from hornbeamdeck.request.refusal import (
    MAX_RETRY_MS,
    MIN_RETRY_MS,
    platform_down,
    refusal_from_owner,
    spread_retry_ms,
)
from hornbeamdeck.wire import RefusalReason, Refuse

CALLERS = 2000
PARTS = 10


def test_own_refusals_are_spread_evenly() -> None:
    """Guards against callers who are refused and return at one moment."""
    times = [spread_retry_ms(f'{number:016x}') for number in range(CALLERS)]
    part_ms = (MAX_RETRY_MS - MIN_RETRY_MS) / PARTS
    counts = [0 for _ in range(PARTS)]
    for time_ms in times:
        assert MIN_RETRY_MS <= time_ms < MAX_RETRY_MS
        counts[int((time_ms - MIN_RETRY_MS) / part_ms)] += 1
    assert max(counts) < 1.3 * CALLERS / PARTS
    assert min(counts) > 0.7 * CALLERS / PARTS


def test_same_call_is_told_the_same_time() -> None:
    assert platform_down('a') == platform_down('a')
    assert platform_down('a') != platform_down('b')


def test_caller_without_a_time_gets_no_retry_after() -> None:
    """Guards against `Retry-After: 0`, which asks for a return at once."""
    refusal = Refuse(
        request_id='r', reason=RefusalReason.OVERLOADED, retry_after_ms=0
    )
    response = to_response(refusal_from_owner(refusal), 'r')
    assert 'retry-after' not in response.headers
    assert b'retry_after_ms' not in response.body
