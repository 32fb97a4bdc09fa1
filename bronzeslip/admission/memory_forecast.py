"""Forecast of an engine's memory over the coming steps."""

import math

from bronzeslip.admission import survival_curve

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


class Occupant:
    """A sequence as the forecast sees it.

    Attributes:
        curve: Survival of its length.
        prompt_tokens: Tokens of its prompt.
        generated_tokens: Tokens produced so far.
        max_tokens: Most tokens it may produce.
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

    def demand(self) -> list[tuple[float, float]]:
        """Returns the mean and variance of its memory at each horizon."""
        generated = self.generated_tokens
        held = self.prompt_tokens + generated
        base = self.curve.log_survival(generated)
        found = []
        for ahead in HORIZONS_TOKENS:
            if generated + ahead >= self.max_tokens:
                found.append((0.0, 0.0))
                continue
            chance = math.exp(self.curve.log_survival(generated + ahead) - base)
            size = held + ahead
            found.append((chance * size, chance * (1 - chance) * size * size))
        return found


class MemoryForecast:
    """Mean and variance of the memory in use at each horizon, in tokens."""

    def __init__(self) -> None:
        self._demands: dict[Occupant, list[tuple[float, float]]] = {}
        self._means = [0.0] * len(HORIZONS_TOKENS)
        self._variances = [0.0] * len(HORIZONS_TOKENS)

    @property
    def now_tokens(self) -> float:
        """Memory in use now."""
        return self._means[0]

    def refresh(self) -> None:
        """Brings the forecast up to the occupants' progress."""
        occupants = list(self._demands)
        self._demands = {}
        self._means = [0.0] * len(HORIZONS_TOKENS)
        self._variances = [0.0] * len(HORIZONS_TOKENS)
        for occupant in occupants:
            self.add(occupant)

    def add(self, occupant: Occupant) -> None:
        """Takes a sequence in."""
        demand = occupant.demand()
        self._demands[occupant] = demand
        self._count(demand, 1)

    def remove(self, occupant: Occupant) -> None:
        """Takes a sequence out."""
        self._count(self._demands.pop(occupant), -1)

    def _count(self, demand: list[tuple[float, float]], sign: int) -> None:
        for index, (mean, variance) in enumerate(demand):
            self._means[index] += sign * mean
            self._variances[index] += sign * variance

    def peak_tokens(
        self, deviations: float, added: Occupant | None = None
    ) -> float:
        """Returns the highest of the memory's quantiles over the horizons.

        Args:
            deviations: Standard deviations above the mean of the quantile.
            added: A further sequence to count.
        """
        extra = added.demand() if added else _NO_DEMAND
        return max(
            mean + more + deviations * math.sqrt(max(variance + spread, 0.0))
            for mean, variance, (more, spread) in zip(
                self._means, self._variances, extra, strict=True
            )
        )

    def steps_until(self, limit_tokens: float, wanted_tokens: float) -> int:
        """Returns the horizon from which the mean leaves that much room."""
        for index, mean in enumerate(self._means):
            if mean + wanted_tokens <= limit_tokens:
                return HORIZONS_TOKENS[index]
        return HORIZONS_TOKENS[-1]
