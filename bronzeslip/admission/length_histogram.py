"""What was seen of the output lengths of like requests."""

from bronzeslip.admission import length_buckets

_MAX_OBSERVATIONS = 4000.0


class LengthHistogram:
    """Counts, for each bucket of lengths, who ended in it and who outgrew it.

    A generation that is cancelled or still runs counts for the buckets that
    it has outgrown and for no other, so censored lengths bias nothing.
    """

    __slots__ = ("_ended", "_survived", "_total_ended", "version")

    def __init__(self) -> None:
        self._ended = [0.0] * length_buckets.COUNT
        self._survived = [0.0] * length_buckets.COUNT
        self._total_ended = 0.0
        self.version = 0

    def add_survived(self, bucket: int) -> None:
        """Counts a generation that runs on beyond a bucket."""
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
        """Returns each bucket's chance of ending in it once reached.

        Args:
            prior: Chances to lean on where little was seen.
            prior_weight: Observations that the fallback counts for.
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
