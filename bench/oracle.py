"""Length estimators that know the exact length or only the prior."""

from bronzeslip.admission import length_estimator
from bronzeslip.admission import request
from bronzeslip.admission import survival_curve


class ExactCurve(survival_curve.SurvivalCurve):
    """Survival curve of an output whose length is known."""

    def __init__(self, length_tokens: int) -> None:
        super().__init__(())
        self._length_tokens = length_tokens

    def log_survival(self, length_tokens: int) -> float:
        """Returns log(1) below the true length and about log(0) from there."""
        return 0.0 if length_tokens < self._length_tokens else -1e9

    def mean_remaining(self, generated_tokens: int, max_tokens: int) -> float:
        """Returns the exact number of remaining tokens."""
        return max(self._length_tokens - generated_tokens, 0)


class OracleEstimator(length_estimator.LengthEstimator):
    """Returns exact lengths, which the experiment puts into max_tokens."""

    def curve(
        self, admission_request: request.AdmissionRequest
    ) -> survival_curve.SurvivalCurve:
        """Returns the exact survival curve of a request."""
        return ExactCurve(admission_request.max_tokens)

    def add_progress(
        self,
        admission_request: request.AdmissionRequest,
        previous_tokens: int,
        current_tokens: int,
    ) -> None:
        """Ignores the progress of a generation."""


class PriorOnlyEstimator(length_estimator.LengthEstimator):
    """Never updates its estimates and keeps the prior."""

    def add_progress(
        self,
        admission_request: request.AdmissionRequest,
        previous_tokens: int,
        current_tokens: int,
    ) -> None:
        """Ignores the progress of a generation."""

    def add_completion(
        self, admission_request: request.AdmissionRequest, length_tokens: int
    ) -> None:
        """Ignores the length of a finished generation."""
