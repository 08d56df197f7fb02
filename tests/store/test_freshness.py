"""Confirmations that the configuration in use is still the stored one."""

import math

from hornbeamdeck.store.freshness import Freshness


def test_age_is_infinite_without_confirmation() -> None:
    assert Freshness().age_ms(7, 100) == math.inf


def test_age_counts_from_the_request() -> None:
    freshness = Freshness()
    freshness.confirm(7, 1000)
    assert freshness.age_ms(7, 1500) == 500


def test_newer_confirmation_does_not_count_for_the_version_held() -> None:
    """A peer confirms version 8 while this instance holds 7. Version 8 may
    have revoked a key; if 7 counted as fresh, the key would be accepted
    forever.
    """
    freshness = Freshness()
    freshness.confirm(7, 1000)
    freshness.confirm(8, 5000)
    assert freshness.age_ms(7, 6000) == 5000
    assert freshness.age_ms(8, 6000) == 1000


def test_older_confirmation_counts_for_a_newer_version() -> None:
    freshness = Freshness()
    freshness.confirm(7, 1000)
    assert freshness.age_ms(8, 1400) == 400


def test_late_confirmation_does_not_increase_the_age() -> None:
    freshness = Freshness()
    freshness.confirm(7, 2000)
    freshness.confirm(7, 1000)
    assert freshness.age_ms(7, 2500) == 500


def test_oldest_versions_are_dropped_first() -> None:
    freshness = Freshness()
    for version in range(100):
        freshness.confirm(version, version)
    assert freshness.age_ms(99, 100) == 1
