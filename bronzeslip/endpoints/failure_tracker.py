"""Recent failures of endpoints as seen by this gateway."""

import asyncio
import math

import msgspec

from bronzeslip import ids

_HALF_LIFE_S = 3.0
_MAX_SCORE = 8.0


class FailureScore(msgspec.Struct, frozen=True):
    """Exponentially decayed failure count of one endpoint.

    Attributes:
        score: Weighted number of failures at the time of the update.
        updated_s: Time of the last update on the event loop's clock, in
            seconds.
    """

    score: float
    updated_s: float


class FailureTracker:
    """Tracks failures of endpoints with exponential decay.

    The half-life of three seconds allows a recovered endpoint to receive
    requests again within the ten seconds that most disruptions last.
    """

    def __init__(self) -> None:
        self._scores: dict[ids.EndpointId, FailureScore] = {}

    def record_failure(
        self, endpoint_id: ids.EndpointId, weight: float = 1.0
    ) -> None:
        """Records a failure."""
        score = min(self.score_of(endpoint_id) + weight, _MAX_SCORE)
        self._scores[endpoint_id] = FailureScore(score, _now_s())

    def record_success(self, endpoint_id: ids.EndpointId) -> None:
        """Records a success, which halves the current failure score."""
        score = self.score_of(endpoint_id) / 2
        self._scores[endpoint_id] = FailureScore(score, _now_s())

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Removes the score of an endpoint that is gone."""
        self._scores.pop(endpoint_id, None)

    def score_of(self, endpoint_id: ids.EndpointId) -> float:
        """Returns the current weighted number of failures."""
        recorded = self._scores.get(endpoint_id)
        if recorded is None:
            return 0.0
        age_s = _now_s() - recorded.updated_s
        return recorded.score * math.pow(0.5, age_s / _HALF_LIFE_S)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
