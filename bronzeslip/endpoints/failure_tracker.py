"""How often endpoints have failed this gateway lately."""

import asyncio
import math

import msgspec

from bronzeslip import ids

_HALF_LIFE_S = 3.0
_MAX_SCORE = 8.0


class FailureScore(msgspec.Struct, frozen=True):
    """Failures of one endpoint, older ones counted less.

    Attributes:
        score: Their weighted number at a time.
        updated_s: That time, on the loop's clock.
    """

    score: float
    updated_s: float


class FailureTracker:
    """Remembers failures of endpoints for some seconds.

    The half-life of three seconds lets an endpoint that has recovered take
    requests again within the ten seconds that most disruptions last.
    """

    def __init__(self) -> None:
        self._scores: dict[ids.EndpointId, FailureScore] = {}

    def record_failure(
        self, endpoint_id: ids.EndpointId, weight: float = 1.0
    ) -> None:
        """Notes a failure."""
        score = min(self.score_of(endpoint_id) + weight, _MAX_SCORE)
        self._scores[endpoint_id] = FailureScore(score, _now_s())

    def record_success(self, endpoint_id: ids.EndpointId) -> None:
        """Notes a success, which makes older failures count half."""
        score = self.score_of(endpoint_id) / 2
        self._scores[endpoint_id] = FailureScore(score, _now_s())

    def score_of(self, endpoint_id: ids.EndpointId) -> float:
        """Returns the weighted number of failures as of now."""
        recorded = self._scores.get(endpoint_id)
        if recorded is None:
            return 0.0
        age_s = _now_s() - recorded.updated_s
        return recorded.score * math.pow(0.5, age_s / _HALF_LIFE_S)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
