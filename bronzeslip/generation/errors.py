"""Errors raised for generations."""

from bronzeslip import errors
from bronzeslip import ids
from bronzeslip.transport.frames import reason

_NO_CRASH = ids.CrashId("")


class GenerationError(errors.BronzeslipError):
    """A generation failed."""

    code = "generation-error"


class TokensDroppedError(GenerationError):
    """The requested tokens are no longer in the buffer."""

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
    """The generation was lost and cannot be completed."""

    code = "generation-lost"

    def __init__(self, message: str, crash_id: ids.CrashId = _NO_CRASH) -> None:
        super().__init__(message)
        self.crash_id = crash_id


class SidecarUnavailableError(GenerationError):
    """The sidecar could not be reached in time; the outcome is unknown."""

    code = "sidecar-away"


class DeadlineExceededError(GenerationError):
    """The request's deadline has passed."""

    code = "deadline"
