"""Errors of generations."""

from bronzeslip import errors
from bronzeslip.transport.frames import reason


class GenerationError(errors.BronzeslipError):
    """A generation did not go as asked."""

    code = "generation-error"


class IndexGoneError(GenerationError):
    """The tokens asked for are no longer kept."""

    code = "generation-index-gone"


class GenerationRefusedError(GenerationError):
    """The sidecar did not run the generation."""

    code = "generation-refused"

    def __init__(
        self, refusal: reason.RefusalReason, retry_after_s: float
    ) -> None:
        super().__init__(refusal.value, retry_after_s=retry_after_s)
        self.refusal = refusal


class GenerationLostError(GenerationError):
    """The generation will never be whole."""

    code = "generation-lost"


class SidecarAwayError(GenerationError):
    """The sidecar could not be reached in time; the outcome is unknown."""

    code = "sidecar-away"


class DeadlineError(GenerationError):
    """The request's deadline has passed."""

    code = "deadline"
