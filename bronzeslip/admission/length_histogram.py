"""Histogram of observed output lengths of similar requests."""

from bronzeslip.admission import length_buckets

_MAX_OBSERVATIONS = 4000.0


class LengthHistogram:
    """Counts generations that ended in or survived each length bucket.

    A generation that was cancelled or is still running counts as a survivor
    of the buckets that it has passed and is not counted in any other bucket,
    so right-censored lengths do not bias the estimate.
    """

    __slots__ = ("_ended", "_survived", "_total_ended", "version")

    def __init__(self) -> None:
        self._ended = [0.0] * length_buckets.COUNT
        self._survived = [0.0] * length_buckets.COUNT
        self._total_ended = 0.0
        self.version = 0

    def add_survived(self, bucket: int) -> None:
        """Counts a generation that continues beyond a bucket."""
        self._survived[bucket] += 1
        self.version += 1

    def add_ended(self, bucket: int) -> None:
        """Counts a generation that ended in a bucket."""
        self._ended[bucket] += 1
        self._total_ended += 1
        self.version += 1
        if self._total_ended >= _MAX_OBSERVATIONS:
            self._halve()

    def hazards(self, prior: list[float], prior_weight: float) -> list[float]:
        """Returns the hazard of each bucket, smoothed towards a prior.

        The hazard of a bucket is the probability that a generation that
        reaches the bucket ends in it.

        Args:
            prior: Prior hazard of each bucket.
            prior_weight: Weight of the prior, in observations.
        """
        return [
            (ended + prior_weight * prior_hazard)
            / (ended + survived + prior_weight)
            for ended, survived, prior_hazard in zip(
                self._ended, self._survived, prior, strict=True
            )
        ]

    def _halve(self) -> None:
        self._ended = [count / 2 for count in self._ended]
        self._survived = [count / 2 for count in self._survived]
        self._total_ended /= 2
