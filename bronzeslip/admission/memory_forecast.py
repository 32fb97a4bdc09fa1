"""Forecast of an engine's memory use over the coming steps."""

import math

from bronzeslip.admission import survival_curve

# Horizons of the forecast, in further tokens per sequence. A sequence generates
# one token per engine step.
HORIZONS_TOKENS = (
    0,
    16,
    32,
    64,
    96,
    128,
    192,
    256,
    384,
    512,
    768,
    1024,
    1536,
    2048,
    4096,
)

_NO_DEMAND = [(0.0, 0.0)] * len(HORIZONS_TOKENS)


class ForecastSequence:
    """A running or waiting sequence in the memory forecast.

    Attributes:
        curve: Survival curve of its output length.
        prompt_tokens: Length of its prompt, in tokens.
        generated_tokens: Number of tokens generated so far.
        max_tokens: Maximum number of tokens to generate.
    """

    __slots__ = ("curve", "generated_tokens", "max_tokens", "prompt_tokens")

    def __init__(
        self,
        curve: survival_curve.SurvivalCurve,
        prompt_tokens: float,
        generated_tokens: int,
        max_tokens: int,
    ) -> None:
        self.curve = curve
        self.prompt_tokens = prompt_tokens
        self.generated_tokens = generated_tokens
        self.max_tokens = max_tokens

    def memory_demand(self) -> list[tuple[float, float]]:
        """Returns the mean and variance of its memory use at each horizon."""
        generated = self.generated_tokens
        current_tokens = self.prompt_tokens + generated
        log_survival_now = self.curve.log_survival(generated)
        moments = []
        for horizon in HORIZONS_TOKENS:
            if generated + horizon >= self.max_tokens:
                moments.append((0.0, 0.0))
                continue
            probability = math.exp(
                self.curve.log_survival(generated + horizon) - log_survival_now
            )
            size_tokens = current_tokens + horizon
            moments.append(
                (
                    probability * size_tokens,
                    probability * (1 - probability) * size_tokens * size_tokens,
                )
            )
        return moments


class MemoryForecast:
    """Mean and variance of memory use at each horizon, in tokens."""

    def __init__(self) -> None:
        self._demands: dict[ForecastSequence, list[tuple[float, float]]] = {}
        self._means = [0.0] * len(HORIZONS_TOKENS)
        self._variances = [0.0] * len(HORIZONS_TOKENS)

    @property
    def used_tokens(self) -> float:
        """Current memory use, in tokens."""
        return self._means[0]

    def refresh(self) -> None:
        """Recomputes the forecast from the progress of its sequences."""
        sequences = list(self._demands)
        self._demands = {}
        self._means = [0.0] * len(HORIZONS_TOKENS)
        self._variances = [0.0] * len(HORIZONS_TOKENS)
        for sequence in sequences:
            self.add(sequence)

    def add(self, sequence: ForecastSequence) -> None:
        """Adds a sequence to the forecast."""
        demand = sequence.memory_demand()
        self._demands[sequence] = demand
        self._accumulate(demand, 1)

    def remove(self, sequence: ForecastSequence) -> None:
        """Removes a sequence from the forecast."""
        self._accumulate(self._demands.pop(sequence), -1)

    def _accumulate(self, demand: list[tuple[float, float]], sign: int) -> None:
        for index, (mean, variance) in enumerate(demand):
            self._means[index] += sign * mean
            self._variances[index] += sign * variance

    def peak_tokens(
        self, z_score: float, added_sequence: ForecastSequence | None = None
    ) -> float:
        """Returns the peak over all horizons of a memory use quantile.

        Args:
            z_score: Quantile, in standard deviations above the mean.
            added_sequence: Additional sequence to include, if any.
        """
        added_demand = (
            added_sequence.memory_demand() if added_sequence else _NO_DEMAND
        )
        return max(
            mean
            + added_mean
            + z_score * math.sqrt(max(variance + added_variance, 0.0))
            for mean, variance, (added_mean, added_variance) in zip(
                self._means, self._variances, added_demand, strict=True
            )
        )

    def steps_until_fits(
        self, limit_tokens: float, required_tokens: float
    ) -> int:
        """Returns the first horizon at which the required memory fits.

        Mean memory use is compared with the limit. If the required memory
        fits at no horizon, the last horizon is returned.
        """
        for index, mean in enumerate(self._means):
            if mean + required_tokens <= limit_tokens:
                return HORIZONS_TOKENS[index]
        return HORIZONS_TOKENS[-1]
