"""What was seen of the output lengths of like requests."""

from bronzeslip.admission import length_buckets

_MAX_OBSERVATIONS = 4000.0


class LengthSketch:
    """Counts, for each bucket of lengths, who ended in it and who outgrew it.

    A generation that is cancelled or still runs counts for the buckets that
    it has outgrown and for no other, so censored lengths bias nothing.
    """

    __slots__ = ("_ended", "_outgrown", "_total", "version")

    def __init__(self) -> None:
        self._ended = [0.0] * length_buckets.COUNT
        self._outgrown = [0.0] * length_buckets.COUNT
        self._total = 0.0
        self.version = 0

    def add_outgrown(self, bucket: int) -> None:
        """Counts a generation that runs on beyond a bucket."""
        self._outgrown[bucket] += 1
        self.version += 1

    def add_ended(self, bucket: int) -> None:
        """Counts a generation that ended in a bucket."""
        self._ended[bucket] += 1
        self._total += 1
        self.version += 1
        if self._total >= _MAX_OBSERVATIONS:
            self._halve()

    def hazards(
        self, fallback: list[float], fallback_weight: float
    ) -> list[float]:
        """Returns each bucket's chance of ending in it once reached.

        Args:
            fallback: Chances to lean on where little was seen.
            fallback_weight: Observations that the fallback counts for.
        """
        return [
            (ended + fallback_weight * expected)
            / (ended + outgrown + fallback_weight)
            for ended, outgrown, expected in zip(
                self._ended, self._outgrown, fallback, strict=True
            )
        ]

    def _halve(self) -> None:
        self._ended = [count / 2 for count in self._ended]
        self._outgrown = [count / 2 for count in self._outgrown]
        self._total /= 2
