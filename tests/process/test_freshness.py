"""Proofs that the configuration held is still the stored one."""

import math

from hornbeamdeck.process.freshness import Freshness


def test_without_proof_nothing_is_fresh() -> None:
    assert Freshness().age_ms(7, 100) == math.inf


def test_a_proof_counts_from_its_question() -> None:
    fresh = Freshness()
    fresh.confirm(7, 1000)
    assert fresh.age_ms(7, 1500) == 500


def test_a_proof_of_a_newer_version_says_nothing_of_the_one_held() -> None:
    """A peer proves version 8 while this instance holds 7. In 8 a key may be
    gone; held for fresh, 7 would serve it on for ever.
    """
    fresh = Freshness()
    fresh.confirm(7, 1000)
    fresh.confirm(8, 5000)
    assert fresh.age_ms(7, 6000) == 5000
    assert fresh.age_ms(8, 6000) == 1000


def test_who_holds_the_newer_version_may_use_older_proofs() -> None:
    fresh = Freshness()
    fresh.confirm(7, 1000)
    assert fresh.age_ms(8, 1400) == 400


def test_a_late_proof_makes_nothing_older() -> None:
    fresh = Freshness()
    fresh.confirm(7, 2000)
    fresh.confirm(7, 1000)
    assert fresh.age_ms(7, 2500) == 500


def test_a_storm_of_versions_is_forgotten_from_its_old_end() -> None:
    fresh = Freshness()
    for version in range(100):
        fresh.confirm(version, version)
    assert fresh.age_ms(99, 100) == 1
