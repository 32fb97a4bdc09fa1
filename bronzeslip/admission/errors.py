"""Errors raised by admission control."""

from bronzeslip import errors
from bronzeslip.transport.frames import reason


class AdmissionRefusedError(errors.BronzeslipError):
    """The request was refused before execution and has not run."""

    code = "admission-refused"

    def __init__(
        self, refusal: reason.RefusalReason, retry_after_s: float
    ) -> None:
        super().__init__(refusal.value, retry_after_s=retry_after_s)
        self.refusal = refusal


class WorkspaceLimitedError(errors.BronzeslipError):
    """The workspace has reached a limit; the request has not run."""

    code = "workspace-limited"
