"""Estimates of how long outputs will be."""

import collections

from bronzeslip.admission import length_buckets
from bronzeslip.admission import length_sketch
from bronzeslip.admission import request
from bronzeslip.admission import survival_curve

_FALLBACK_WEIGHT = 6.0
_PRIOR_SHORT_TOKENS = 32
_PRIOR_SHORT_HAZARD = 0.05
_PRIOR_LONG_HAZARD = 0.2
_PRIOR_HAZARDS = [
    _PRIOR_SHORT_HAZARD if edge < _PRIOR_SHORT_TOKENS else _PRIOR_LONG_HAZARD
    for edge in length_buckets.EDGES[: length_buckets.COUNT]
]
_MAX_SKETCHES = 10_000
_REFRESH_OBSERVATIONS = 16

_Key = tuple[str, ...]


class LengthEstimator:
    """Learns lengths for each service, class and workspace.

    What was seen of a workspace leans on what was seen of its class, that on
    its service, and that on a heavy-tailed prior.
    """

    def __init__(self) -> None:
        self._sketches: collections.OrderedDict[
            _Key, length_sketch.LengthSketch
        ] = collections.OrderedDict()
        self._curves: dict[_Key, tuple[int, survival_curve.SurvivalCurve]] = {}

    def curve(
        self, asked: request.AdmissionRequest
    ) -> survival_curve.SurvivalCurve:
        """Returns the survival curve of requests like one."""
        key = _keys(asked)[-1]
        sketch = self._sketches.get(key)
        version = sketch.version if sketch else 0
        kept = self._curves.get(key)
        if kept is not None and version - kept[0] < _REFRESH_OBSERVATIONS:
            return kept[1]
        hazards = _PRIOR_HAZARDS
        for level in _keys(asked):
            found = self._sketches.get(level)
            if found is not None:
                hazards = found.hazards(hazards, _FALLBACK_WEIGHT)
        curve = survival_curve.SurvivalCurve(hazards)
        self._curves[key] = (version, curve)
        return curve

    def add_progress(
        self, asked: request.AdmissionRequest, before: int, after: int
    ) -> None:
        """Notes that a generation has come from one length to another."""
        first = length_buckets.index_of(before + 1)
        last = length_buckets.index_of(after + 1)
        if first == last:
            return
        for key in _keys(asked):
            sketch = self._sketch(key)
            for bucket in range(first, last):
                sketch.add_outgrown(bucket)

    def add_end(
        self, asked: request.AdmissionRequest, length_tokens: int
    ) -> None:
        """Notes the length of an output that came to its own end."""
        if length_tokens >= asked.max_tokens or length_tokens <= 0:
            return
        bucket = length_buckets.index_of(length_tokens)
        for key in _keys(asked):
            self._sketch(key).add_ended(bucket)

    def _sketch(self, key: _Key) -> length_sketch.LengthSketch:
        found = self._sketches.get(key)
        if found is None:
            found = self._sketches[key] = length_sketch.LengthSketch()
            if len(self._sketches) > _MAX_SKETCHES:
                oldest, _ = self._sketches.popitem(last=False)
                self._curves.pop(oldest, None)
        else:
            self._sketches.move_to_end(key)
        return found


def _keys(asked: request.AdmissionRequest) -> tuple[_Key, ...]:
    service = asked.service_name
    kind = asked.workspace_class.value
    return (
        (service,),
        (service, kind),
        (service, kind, asked.workspace_id),
    )
