"""Estimators that know the true lengths, or nothing at all."""

from bronzeslip.admission import length_estimator
from bronzeslip.admission import request
from bronzeslip.admission import survival_curve


class ExactCurve(survival_curve.SurvivalCurve):
    """Survival of an output whose length is known."""

    def __init__(self, length_tokens: int) -> None:
        super().__init__(())
        self._length_tokens = length_tokens

    def log_survival(self, length_tokens: int) -> float:
        """Returns the log of one up to the true length, then of nothing."""
        return 0.0 if length_tokens < self._length_tokens else -1e9

    def mean_remaining(self, generated_tokens: int, max_tokens: int) -> float:
        """Returns what is left."""
        return max(self._length_tokens - generated_tokens, 0)


class OracleEstimator(length_estimator.LengthEstimator):
    """Knows each length, which the experiment puts into max_tokens."""

    def curve(
        self, admission_request: request.AdmissionRequest
    ) -> survival_curve.SurvivalCurve:
        """Returns the curve of the true length."""
        return ExactCurve(admission_request.max_tokens)

    def add_progress(
        self,
        admission_request: request.AdmissionRequest,
        previous_tokens: int,
        current_tokens: int,
    ) -> None:
        """Has nothing to learn."""


class BlindEstimator(length_estimator.LengthEstimator):
    """Learns nothing and stays with its prior."""

    def add_progress(
        self,
        admission_request: request.AdmissionRequest,
        previous_tokens: int,
        current_tokens: int,
    ) -> None:
        """Learns nothing."""

    def add_completion(
        self, admission_request: request.AdmissionRequest, length_tokens: int
    ) -> None:
        """Learns nothing."""
