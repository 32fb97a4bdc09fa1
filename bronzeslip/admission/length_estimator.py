"""Estimation of output lengths from observed generations."""

import collections

from bronzeslip.admission import length_buckets
from bronzeslip.admission import length_histogram
from bronzeslip.admission import request
from bronzeslip.admission import survival_curve

_PRIOR_WEIGHT = 6.0
_PRIOR_SHORT_TOKENS = 32
_PRIOR_SHORT_HAZARD = 0.05
_PRIOR_LONG_HAZARD = 0.2
_PRIOR_HAZARDS = [
    _PRIOR_SHORT_HAZARD if edge < _PRIOR_SHORT_TOKENS else _PRIOR_LONG_HAZARD
    for edge in length_buckets.EDGES[: length_buckets.COUNT]
]
_MAX_HISTOGRAMS = 10_000
_CURVE_REFRESH_OBSERVATIONS = 16

_HistogramKey = tuple[str, ...]


class LengthEstimator:
    """Learns output length distributions by service, class and workspace.

    The estimate is hierarchical: the distribution of a workspace is smoothed
    towards that of its class, which is smoothed towards that of its service,
    which is smoothed towards a heavy-tailed prior.
    """

    def __init__(self) -> None:
        self._histograms: collections.OrderedDict[
            _HistogramKey, length_histogram.LengthHistogram
        ] = collections.OrderedDict()
        self._curves: dict[
            _HistogramKey,
            tuple[_HistogramKey | None, int, survival_curve.SurvivalCurve],
        ] = {}

    def curve(
        self, admission_request: request.AdmissionRequest
    ) -> survival_curve.SurvivalCurve:
        """Returns the length survival curve for similar requests."""
        key = _level_keys(admission_request)[-1]
        source, version = self._most_specific(admission_request)
        cached = self._curves.get(key)
        if (
            cached is not None
            and cached[0] == source
            and version - cached[1] < _CURVE_REFRESH_OBSERVATIONS
        ):
            return cached[2]
        hazards = _PRIOR_HAZARDS
        for level_key in _level_keys(admission_request):
            level_histogram = self._histograms.get(level_key)
            if level_histogram is not None:
                hazards = level_histogram.hazards(hazards, _PRIOR_WEIGHT)
        curve = survival_curve.SurvivalCurve(hazards)
        self._curves[key] = (source, version, curve)
        return curve

    def _most_specific(
        self, admission_request: request.AdmissionRequest
    ) -> tuple[_HistogramKey | None, int]:
        """Returns the most specific histogram's key and its version.

        A workspace without a histogram of its own follows its class or service.
        """
        for key in reversed(_level_keys(admission_request)):
            histogram = self._histograms.get(key)
            if histogram is not None:
                return key, histogram.version
        return None, 0

    def add_progress(
        self,
        admission_request: request.AdmissionRequest,
        previous_tokens: int,
        current_tokens: int,
    ) -> None:
        """Records that a generation has grown from one length to another."""
        first_bucket = length_buckets.index_of(previous_tokens + 1)
        last_bucket = length_buckets.index_of(current_tokens + 1)
        if first_bucket == last_bucket:
            return
        for key in _level_keys(admission_request):
            histogram = self._histogram_for(key)
            for bucket in range(first_bucket, last_bucket):
                histogram.add_survived(bucket)

    def add_completion(
        self, admission_request: request.AdmissionRequest, length_tokens: int
    ) -> None:
        """Records the length of an output that completed on its own.

        An output cut off at max_tokens is censored and not recorded.
        """
        if length_tokens >= admission_request.max_tokens or length_tokens <= 0:
            return
        bucket = length_buckets.index_of(length_tokens)
        for key in _level_keys(admission_request):
            self._histogram_for(key).add_ended(bucket)

    def _histogram_for(
        self, key: _HistogramKey
    ) -> length_histogram.LengthHistogram:
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = (
                length_histogram.LengthHistogram()
            )
            if len(self._histograms) > _MAX_HISTOGRAMS:
                oldest, _ = self._histograms.popitem(last=False)
                self._curves.pop(oldest, None)
        else:
            self._histograms.move_to_end(key)
        return histogram


def _level_keys(
    admission_request: request.AdmissionRequest,
) -> tuple[_HistogramKey, ...]:
    service_name = admission_request.service_name
    class_name = admission_request.workspace_class.value
    return (
        (service_name,),
        (service_name, class_name),
        (service_name, class_name, admission_request.workspace_id),
    )
