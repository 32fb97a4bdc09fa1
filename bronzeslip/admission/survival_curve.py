"""Survival function of output lengths."""

from collections.abc import Sequence
import math

from bronzeslip.admission import length_buckets

_MAX_HAZARD = 0.999


class SurvivalCurve:
    """Log-survival at the bucket edges, interpolated linearly between them."""

    __slots__ = ("_log_survival_at_edges",)

    def __init__(self, hazards: Sequence[float]) -> None:
        """Creates the curve.

        Args:
            hazards: For each bucket, the probability that an output that
                reaches the bucket ends in it.
        """
        total = 0.0
        self._log_survival_at_edges = [0.0]
        for hazard in hazards:
            total += math.log1p(-min(hazard, _MAX_HAZARD))
            self._log_survival_at_edges.append(total)

    def log_survival(self, length_tokens: int) -> float:
        """Returns the log-probability that an output exceeds a length."""
        bucket = length_buckets.index_of(length_tokens)
        low = length_buckets.EDGES[bucket]
        high = length_buckets.EDGES[bucket + 1]
        fraction = min((length_tokens - low) / (high - low), 1.0)
        log_at_low = self._log_survival_at_edges[bucket]
        return log_at_low + fraction * (
            self._log_survival_at_edges[bucket + 1] - log_at_low
        )

    def survival(self, generated_tokens: int, additional_tokens: int) -> float:
        """Returns the probability that a running output grows that far.

        Args:
            generated_tokens: Number of tokens generated so far.
            additional_tokens: Number of further tokens.
        """
        return math.exp(
            self.log_survival(generated_tokens + additional_tokens)
            - self.log_survival(generated_tokens)
        )

    def remaining_quantile(self, generated_tokens: int, quantile: float) -> int:
        """Returns a quantile of the remaining length of a running output.

        Args:
            generated_tokens: Number of tokens generated so far.
            quantile: Probability that the output ends within the returned
                number of tokens, below one.
        """
        target = self.log_survival(generated_tokens) + math.log1p(-quantile)
        low, high = generated_tokens, length_buckets.MAX_LENGTH_TOKENS
        while low < high:
            middle = (low + high) // 2
            if self.log_survival(middle) <= target:
                high = middle
            else:
                low = middle + 1
        return low - generated_tokens

    def mean_remaining(self, generated_tokens: int, max_tokens: int) -> float:
        """Returns the expected remaining length of a running output.

        Args:
            generated_tokens: Number of tokens generated so far.
            max_tokens: Maximum total length of the output, in tokens.
        """
        log_survival_now = self.log_survival(generated_tokens)
        total = 0.0
        position, probability = generated_tokens, 1.0
        for edge in length_buckets.EDGES:
            end = min(edge, max_tokens)
            if end <= position:
                continue
            next_probability = math.exp(
                self.log_survival(end) - log_survival_now
            )
            total += (end - position) * (probability + next_probability) / 2
            position, probability = end, next_probability
        return total
