"""How long an engine's answers take, compared with its own fastest ones.

Load pattern: the engines of a service differ several times in speed and don't
report it, so an answer can't be called slow by its duration alone. It is
compared with the other answers of the same engine.
"""

from collections import deque
from collections.abc import Mapping
from typing import Final

from hornbeamdeck.scheduling.engine_load import EngineLoad, base_first_token_ms
from hornbeamdeck.scheduling.engine_run import EngineRun
from hornbeamdeck.scheduling.output_estimate import (
    INITIAL_CALL_MS,
    INITIAL_TOKEN_MS,
)

__all__ = (
    'EnginePace',
    'common_pace',
    'count_slow',
    'expected_run_ms',
    'run_pace',
)

# Number of answers that the reference is taken from.
ANSWERS_KEPT: Final = 16
# Answers needed before an engine has a reference.
MIN_ANSWERS: Final = 3
# The reference is this quantile, so that a version of which a part of the
# answers is slow does not make them the reference.
REFERENCE_SHARE: Final = 0.25
# An answer is slow if it takes this many times the reference. Answers vary by
# half of that with the other runs on their engine.
SLOW_RATIO: Final = 3.0


class EnginePace:
    """The paces of one engine's last answers.

    A pace is the time that an answer took, divided by the expected time.
    """

    def __init__(self) -> None:
        """Start without answers."""
        self._paces: deque[float] = deque(maxlen=ANSWERS_KEPT)

    @property
    def reference(self) -> float:
        """The pace of the engine's fast answers; 0: not known yet."""
        if len(self._paces) < MIN_ANSWERS:
            return 0.0
        ordered = sorted(self._paces)
        return ordered[int(len(ordered) * REFERENCE_SHARE)]

    def record(self, pace: float) -> bool:
        """Record an answer and return whether it is slow for this engine."""
        reference = self.reference
        self._paces.append(pace)
        return 0 < reference * SLOW_RATIO < pace


def common_pace(paces: Mapping[str, EnginePace], share: float) -> float:
    """Return a quantile of the references of several engines.

    :param share: share of the engines that are faster.
    :returns: 0 if no engine has a reference.
    """
    references = sorted(_references(paces))
    return references[int(len(references) * share)] if references else 0.0


def count_slow(
    paces: Mapping[str, EnginePace], limit: float
) -> tuple[int, int]:
    """Count the engines slower than a limit, and all whose pace is known."""
    references = _references(paces)
    return sum(each > limit for each in references), len(references)


def _references(paces: Mapping[str, EnginePace]) -> list[float]:
    references = (pace.reference for pace in paces.values())
    return [reference for reference in references if reference]


def expected_run_ms(
    load: EngineLoad, prompt_tokens: int, output_tokens: int, now: float
) -> float:
    """Estimate how long a request sent to an engine now would run."""
    work_ms = base_first_token_ms(prompt_tokens)
    return load.first_token_ms(work_ms, now) + load.output_ms(output_tokens)


def run_pace(
    load: EngineLoad, run: EngineRun, output_tokens: int, now: float
) -> float:
    """Return the time that a run took, divided by the expected time.

    :param output_tokens: number of tokens that it has generated; 0: not known.
    :returns: 0 if another owner granted it, so that its start is not known.
    """
    if not run.started_ms:
        return 0.0
    expected_ms = INITIAL_CALL_MS
    if load.properties.is_model:
        tokens = output_tokens or run.output_tokens
        expected_ms = run.expected_first_token_ms + tokens * INITIAL_TOKEN_MS
    return (now - run.started_ms) / expected_ms
