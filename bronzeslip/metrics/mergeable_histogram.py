"""Histogram that accepts pre-aggregated observations."""

from collections.abc import Mapping
from collections.abc import Sequence

import aioprometheus
from aioprometheus import histogram


class MergeableHistogram(aioprometheus.Histogram):
    """Histogram to which counts per bucket can be added."""

    def merge(
        self, labels: Mapping[str, str], counts: Sequence[int], total: float
    ) -> None:
        """Adds observations that were already counted by bucket.

        Args:
            labels: Labels of the series.
            counts: Non-cumulative number of observations per bucket; the last
                one counts those above every bound.
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
