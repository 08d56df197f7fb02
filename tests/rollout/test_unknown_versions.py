"""Tests of versions that no read of the orders has covered."""

from hornbeamdeck.rollout.unknown_versions import UnknownVersions


def test_versions_listed_first_are_known() -> None:
    """Guards against a fleet without engines after its start."""
    versions = UnknownVersions()
    versions.record({'v1', 'v2'}, 0)
    assert not versions.unknown()


def test_read_before_the_engine_was_listed_confirms_nothing() -> None:
    """Guards against an order that is written while a read is in transit."""
    versions = UnknownVersions()
    versions.record({'v1'}, 0)
    versions.record({'v1', 'v2'}, 100)
    versions.confirm(50)
    assert versions.unknown() == {'v2'}
    versions.confirm(150)
    assert not versions.unknown()


def test_version_that_is_gone_is_unknown_again() -> None:
    versions = UnknownVersions()
    versions.record({'v1'}, 0)
    versions.record({'v1', 'v2'}, 100)
    versions.record({'v1'}, 200)
    assert not versions.unknown()
    versions.record({'v1', 'v2'}, 300)
    versions.confirm(250)
    assert versions.unknown() == {'v2'}
