"""Chance that an output is longer than a given length."""

from collections.abc import Sequence
import math

from bronzeslip.admission import length_buckets

_MAX_HAZARD = 0.999


class SurvivalCurve:
    """Log-survival at the bucket edges, linear between them."""

    __slots__ = ("_log_at_edge",)

    def __init__(self, hazards: Sequence[float]) -> None:
        """Creates the curve.

        Args:
            hazards: Each bucket's chance of ending in it once reached.
        """
        total = 0.0
        self._log_at_edge = [0.0]
        for hazard in hazards:
            total += math.log1p(-min(hazard, _MAX_HAZARD))
            self._log_at_edge.append(total)

    def log_survival(self, length_tokens: int) -> float:
        """Returns the log of the chance of more tokens than a length."""
        bucket = length_buckets.index_of(length_tokens)
        low = length_buckets.EDGES[bucket]
        high = length_buckets.EDGES[bucket + 1]
        share = min((length_tokens - low) / (high - low), 1.0)
        at_low = self._log_at_edge[bucket]
        return at_low + share * (self._log_at_edge[bucket + 1] - at_low)

    def survival(self, generated_tokens: int, ahead_tokens: int) -> float:
        """Returns the chance that a running output goes on that far."""
        return math.exp(
            self.log_survival(generated_tokens + ahead_tokens)
            - self.log_survival(generated_tokens)
        )

    def remaining_quantile(self, generated_tokens: int, quantile: float) -> int:
        """Returns the tokens that a running output stays below.

        Args:
            generated_tokens: Tokens produced so far.
            quantile: Chance that it does, below one.
        """
        wanted = self.log_survival(generated_tokens) + math.log1p(-quantile)
        low, high = generated_tokens, length_buckets.MAX_LENGTH_TOKENS
        while low < high:
            middle = (low + high) // 2
            if self.log_survival(middle) <= wanted:
                high = middle
            else:
                low = middle + 1
        return low - generated_tokens

    def mean_remaining(self, generated_tokens: int, most_tokens: int) -> float:
        """Returns the mean of what a running output still produces."""
        base = self.log_survival(generated_tokens)
        total = 0.0
        at_tokens, chance = generated_tokens, 1.0
        for edge in length_buckets.EDGES:
            end = min(edge, most_tokens)
            if end <= at_tokens:
                continue
            next_chance = math.exp(self.log_survival(end) - base)
            total += (end - at_tokens) * (chance + next_chance) / 2
            at_tokens, chance = end, next_chance
        return total
