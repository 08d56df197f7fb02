"""Which requests are started during a graceful shutdown."""

import math

import pytest

from hornbeamdeck.scheduling.shutdown import Shutdown

GRACE_MS = 8000
# When running requests are cut off.
ENDS_MS = 7300
LOOKUP_MS = 1500
BOOKING_MS = 2000
STREAM_MS = 12_000


def _may_begin(share: float, limit_ms: float) -> bool:
    """Ask whether a request may begin after a share of the grace period.

    :param limit_ms: time that the request may take.
    """
    shutdown = Shutdown()
    shutdown.request(0, grace_ms=GRACE_MS, ends_ms=ENDS_MS)
    now = share * GRACE_MS
    return shutdown.may_begin(now, now + limit_ms)


def test_all_requests_begin_without_a_shutdown() -> None:
    assert Shutdown().may_begin(0, math.inf)


def test_no_stream_starts_that_the_shutdown_would_cut_off() -> None:
    """Guards against a stream that the end of a shutdown would cut off."""
    assert _may_begin(0, STREAM_MS)
    assert _may_begin(0.3, STREAM_MS)
    assert not _may_begin(0.55, STREAM_MS)


def test_short_responses_are_served_until_late_in_the_shutdown() -> None:
    assert _may_begin(0.55, LOOKUP_MS)
    assert _may_begin(0.7, LOOKUP_MS)
    assert not _may_begin(0.95, LOOKUP_MS)


def test_no_call_starts_that_may_take_longer_than_is_left() -> None:
    """Guards against a call that runs and is cut off before its deadline."""
    assert _may_begin(0.6, BOOKING_MS)
    assert not _may_begin(0.7, BOOKING_MS)


@pytest.mark.parametrize('limit_ms', [BOOKING_MS, 3500, 7000])
def test_calls_of_any_length_begin_right_after_the_stop_request(
    limit_ms: int,
) -> None:
    """Guards against refusals while callers still know no other address."""
    assert _may_begin(0.125, limit_ms)


def test_a_long_grace_period_does_not_let_long_requests_begin_later() -> None:
    """Guards against long requests in the last part of a long shutdown."""
    shutdown = Shutdown()
    shutdown.request(0, grace_ms=30_000, ends_ms=29_300)
    assert not shutdown.may_begin(3000, 3000 + 30_000)
    assert shutdown.may_begin(3000, 3000 + 20_000)
