"""The last check before a request is sent to an engine."""

from unittest import mock

from hornbeamdeck.engines.send_guard import SendGuard
from hornbeamdeck.request.gateway_request import WithholdReason
from hornbeamdeck.wire import Grant


def _make_guard(rolled_back: tuple[str, str]) -> SendGuard:
    directory = mock.Mock(engines={})
    directory.is_draining_or_removed.return_value = False
    statements = mock.Mock()
    statements.reason_to_withhold.return_value = None
    return SendGuard(
        mock.Mock(),
        directory,
        statements,
        lambda service, version: (service, version) == rolled_back,
    )


def _grant(version: str) -> Grant:
    return Grant(
        request_id='r', cell='desk', upstream='desk-1', version=version
    )


def test_grant_of_a_version_that_was_rolled_back_is_not_used() -> None:
    """Guards against requests that arrive after the status of a roll-back."""
    guard = _make_guard(('desk', 'v2'))
    assert guard.check(_grant('v2')) == WithholdReason.ROLLED_BACK
    assert guard.check(_grant('v1')) is None
