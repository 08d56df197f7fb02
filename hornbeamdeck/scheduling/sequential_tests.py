"""Sequential tests that compare the failures of two versions of a service.

Load pattern: both versions serve at the same time, and troubles of the fleet
(crashes of engines, overload) come and go while they do. A comparison of
failure rates over the whole time would take a trouble that began while the new
version served more requests for a fault of that version. So answers are
compared only with those of the same second.

Both tests may be evaluated after each second without losing their error rates.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

__all__ = ('AnswerCounts', 'ExcessTest', 'OddsTest', 'tail_probability')

# Ratios of the odds of failing, new version to old, that the test looks for.
# A trouble that hits a part of the engines may hit the new version's twice as
# hard by chance, which must not look like a bad version.
ODDS_RATIOS: Final = (4, 16)
# Failure rate of the new version above that of the old one which a good
# version is proved not to have.
EXCESS_RATE: Final = 0.1
# Bounds of the evidence of `ExcessTest`: how far it may go beyond the proof,
# less than one failure takes back, and how far against it.
PROOF_RESERVE: Final = 0.8
MAX_LOG_DOUBT: Final = 2.3
# Bounds of the old version's failure rate as used by `ExcessTest`.
MIN_RATE: Final = 0.05
MAX_RATE: Final = 0.85
# Number of answers without failures that the old version is assumed to have
# given in addition to those of a second.
PRIOR_ANSWERS: Final = 4


class AnswerCounts(NamedTuple):
    """Answers of both versions within one second.

    :param new_bad: how many of the `new` answers failed or were slow.
    """

    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0

    def add(self, *, is_new: bool, is_bad: bool) -> 'AnswerCounts':
        """Return the counts with one more answer."""
        if is_new:
            return self._replace(
                new=self.new + 1, new_bad=self.new_bad + is_bad
            )
        return self._replace(old=self.old + 1, old_bad=self.old_bad + is_bad)

    def of(self, *, is_new: bool) -> tuple[int, int]:
        """Return the answers of one version, and the bad ones of them."""
        if is_new:
            return self.new, self.new_bad
        return self.old, self.old_bad


class OddsTest:
    """Tests whether the new version fails more often than the old one.

    Given the number of failures of a second, how many of them are the new
    version's follows a hypergeometric distribution if both versions are equally
    good (Fisher's exact test). The likelihood ratio to the distribution of a
    worse version is multiplied up over the seconds. The product restarts at 1
    when it falls below that, so that a version which turns bad late is detected
    as fast as one that was bad from the beginning (CUSUM). While the versions
    are equal, it exceeds a threshold in a given second with a probability of at
    most one by the threshold.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self._log_ratios = [0.0 for _ in ODDS_RATIOS]

    @property
    def log_evidence(self) -> float:
        """Natural logarithm of the likelihood ratio for a worse version."""
        return max(self._log_ratios)

    def add(self, counts: AnswerCounts) -> None:
        """Add the answers of one second."""
        self._log_ratios = [
            max(before, 0.0) + _log_odds_ratio(counts, ratio)
            for before, ratio in zip(self._log_ratios, ODDS_RATIOS, strict=True)
        ]


class ExcessTest:
    """Tests whether the new version is as good as the old one (Wald's SPRT).

    It compares the old version's failure rate in the same second with a rate
    that is higher by `EXCESS_RATE`.
    """

    def __init__(self, miss_rate: float) -> None:
        """Start without evidence.

        :param miss_rate: probability with which a worse version is proved.
        """
        self.log_doubt = 0.0
        self._log_threshold = math.log(miss_rate)

    @property
    def is_proved(self) -> bool:
        """Whether the new version is known to be as good."""
        return self.log_doubt <= self._log_threshold

    def add(self, counts: AnswerCounts) -> None:
        """Add the answers of one second.

        The evidence is bounded. A trouble that has ended must not keep a good
        version from being proved for long, and a version that has turned bad
        must lose its proof with its next failures.
        """
        rate = counts.old_bad / (counts.old + PRIOR_ANSWERS)
        rate = min(max(rate, MIN_RATE), MAX_RATE)
        good = counts.new - counts.new_bad
        change = good * math.log((1 - rate - EXCESS_RATE) / (1 - rate))
        change += counts.new_bad * math.log((rate + EXCESS_RATE) / rate)
        doubt = self.log_doubt + change
        least = self._log_threshold - PROOF_RESERVE
        self.log_doubt = min(max(doubt, least), MAX_LOG_DOUBT)


def tail_probability(counts: AnswerCounts) -> float:
    """Return how probable as many failures of the new version are by chance.

    This is the one-sided p-value of Fisher's exact test.
    """
    weights = _weights(counts, counts.new_bad + counts.old_bad)
    tail = sum(weight for bad, weight in weights if bad >= counts.new_bad)
    return tail / sum(weight for _, weight in weights)


def _log_odds_ratio(counts: AnswerCounts, ratio: int) -> float:
    """Return the log likelihood ratio of a second's counts."""
    failures = counts.new_bad + counts.old_bad
    if not failures or not counts.new or not counts.old:
        return 0.0
    weights = _weights(counts, failures)
    worse = sum(weight * ratio**bad for bad, weight in weights)
    equal = sum(weight for _, weight in weights)
    log_ratio = counts.new_bad * math.log(ratio)
    return log_ratio + math.log(equal) - math.log(worse)


def _weights(counts: AnswerCounts, failures: int) -> list[tuple[int, int]]:
    """Return the ways to distribute the failures, by those of the new one."""
    fewest = max(failures - counts.old, 0)
    most = min(failures, counts.new)
    possible: Iterable[int] = range(fewest, most + 1)
    return [
        (
            bad,
            math.comb(counts.new, bad) * math.comb(counts.old, failures - bad),
        )
        for bad in possible
    ]
