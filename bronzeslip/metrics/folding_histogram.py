"""Histogram that takes observations counted elsewhere."""

from collections.abc import Mapping
from collections.abc import Sequence

import aioprometheus
from aioprometheus import histogram


class FoldingHistogram(aioprometheus.Histogram):
    """Histogram to which whole buckets may be added at once."""

    def fold(
        self, labels: Mapping[str, str], counts: Sequence[int], total: float
    ) -> None:
        """Adds observations counted by bucket.

        Args:
            labels: Labels of the series.
            counts: Observations of each bucket alone, the last one above
                every bound.
            total: Sum of the observations.
        """
        try:
            known = self.get_value(labels)
        except KeyError:
            known = histogram.Histogram(*self.upper_bounds)
            self.set_value(labels, known)
        below = 0
        for bound, count in zip(known.buckets, counts, strict=True):
            below += count
            known.buckets[bound] += below
        known.observations += below
        known.sum += total
