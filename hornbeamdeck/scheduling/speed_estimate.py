"""Estimates of an upstream's speed, learned from its responses."""

from typing import Final

__all__ = ('LinearFit', 'SpeedEstimate')

DECAY: Final = 0.95
MIN_VARIANCE: Final = 1e-9


class LinearFit:
    """Least-squares fit of a time to a length; older samples count less.

    An average time per token would count the fixed part of a short prompt's
    time as a cost of each of its tokens. Long prompts would then be refused
    because they seem impossible to serve in time.
    """

    def __init__(self) -> None:
        """Start without samples; every estimate is 0."""
        self._weight = 0.0
        self._mean_x = 0.0
        self._mean_y = 0.0
        self._variance = 0.0
        self._covariance = 0.0

    def learn(self, length: float, time_ms: float) -> None:
        """Add a sample."""
        self._weight = self._weight * DECAY + 1
        share = 1 / self._weight
        delta_x = length - self._mean_x
        delta_y = time_ms - self._mean_y
        self._mean_x += share * delta_x
        self._mean_y += share * delta_y
        remaining = 1 - share
        self._variance = remaining * (
            self._variance + share * delta_x * delta_x
        )
        self._covariance = remaining * (
            self._covariance + share * delta_x * delta_y
        )

    def time_ms(self, length: float) -> float:
        """Estimate the time for a length, in milliseconds."""
        if not self._weight:
            return 0.0
        slope = max(self._covariance / max(self._variance, MIN_VARIANCE), 0)
        base_ms = max(self._mean_y - slope * self._mean_x, 0)
        return base_ms + slope * length


class SpeedEstimate:
    """Estimates of the time to first token and of the output time."""

    def __init__(self) -> None:
        """Start without samples."""
        self._first_token = LinearFit()
        self._output = LinearFit()

    def learn_first_token(self, first_token_ms: float, tokens: int) -> None:
        """Add an observed time to first token.

        :param tokens: prompt tokens that had to be prefilled before it.
        """
        self._first_token.learn(tokens, first_token_ms)

    def learn_output(self, output_ms: float, tokens: int) -> None:
        """Add an observed time from the first token to the end of a response.

        :param tokens: the requested maximum, since the actual number is not
            known when the next request is placed.
        """
        self._output.learn(tokens, max(output_ms, 0))

    def first_token_ms(self, prompt_tokens: int) -> float:
        """Estimate the time to first token, in milliseconds."""
        return self._first_token.time_ms(prompt_tokens)

    def service_ms(self, prompt_tokens: int, output_tokens: int) -> float:
        """Estimate the duration of a run, in milliseconds."""
        output_ms = self._output.time_ms(output_tokens)
        return self.first_token_ms(prompt_tokens) + output_ms
