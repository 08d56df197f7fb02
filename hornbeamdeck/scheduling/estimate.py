"""What an upstream's past answers tell of its speed."""

from typing import Final

__all__ = ('LinearFit', 'SpeedEstimate')

DECAY: Final = 0.95
MIN_VARIANCE: Final = 1e-9


class LinearFit:
    """Least squares of a time over a length, older samples counting less.

    A plain average of time a token would take the fixed part of a short
    prompt's time for a cost of each of its tokens, and long prompts would be
    refused as hopeless.
    """

    def __init__(self) -> None:
        """Start without samples; everything is estimated as 0."""
        self._weight = 0.0
        self._mean_x = 0.0
        self._mean_y = 0.0
        self._variance = 0.0
        self._covariance = 0.0

    def learn(self, length: float, time_ms: float) -> None:
        """Take in a sample."""
        self._weight = self._weight * DECAY + 1
        share = 1 / self._weight
        off_x = length - self._mean_x
        off_y = time_ms - self._mean_y
        self._mean_x += share * off_x
        self._mean_y += share * off_y
        kept = 1 - share
        self._variance = kept * (self._variance + share * off_x * off_x)
        self._covariance = kept * (self._covariance + share * off_x * off_y)

    def time_ms(self, length: float) -> float:
        """Estimate the time for a length, milliseconds."""
        if not self._weight:
            return 0.0
        slope = max(self._covariance / max(self._variance, MIN_VARIANCE), 0)
        base_ms = max(self._mean_y - slope * self._mean_x, 0)
        return base_ms + slope * length


class SpeedEstimate:
    """Time to first token by prompt, and from there on by answer."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._first_token = LinearFit()
        self._output = LinearFit()

    def learn_first_token(self, first_token_ms: float, tokens: int) -> None:
        """Take in a time to first token.

        :param tokens: prompt tokens that had to be prefilled before it.
        """
        self._first_token.learn(tokens, first_token_ms)

    def learn_output(self, output_ms: float, tokens: int) -> None:
        """Take in how long an answer took after its first token.

        :param tokens: the bound that was asked for, since that is what is
            known when the next one is placed.
        """
        self._output.learn(tokens, max(output_ms, 0))

    def first_token_ms(self, prompt_tokens: int) -> float:
        """Estimate the time to first token, milliseconds."""
        return self._first_token.time_ms(prompt_tokens)

    def service_ms(self, prompt_tokens: int, output_tokens: int) -> float:
        """Estimate how long a run takes, milliseconds."""
        output_ms = self._output.time_ms(output_tokens)
        return self.first_token_ms(prompt_tokens) + output_ms
