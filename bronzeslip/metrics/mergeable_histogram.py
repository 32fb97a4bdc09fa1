"""Histogram that takes observations counted elsewhere."""

from collections.abc import Mapping
from collections.abc import Sequence

import aioprometheus
from aioprometheus import histogram


class MergeableHistogram(aioprometheus.Histogram):
    """Histogram to which whole buckets may be added at once."""

    def merge(
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
            series = self.get_value(labels)
        except KeyError:
            series = histogram.Histogram(*self.upper_bounds)
            self.set_value(labels, series)
        cumulative_count = 0
        for bound, count in zip(series.buckets, counts, strict=True):
            cumulative_count += count
            series.buckets[bound] += cumulative_count
        series.observations += cumulative_count
        series.sum += total
