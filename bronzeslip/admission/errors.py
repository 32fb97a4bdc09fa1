"""Errors of admission."""

from bronzeslip import errors
from bronzeslip.transport.frames import reason


class AdmissionRefusedError(errors.BronzeslipError):
    """A request was not admitted and has not run."""

    code = "admission-refused"

    def __init__(
        self, refusal: reason.RefusalReason, retry_after_s: float
    ) -> None:
        super().__init__(refusal.value, retry_after_s=retry_after_s)
        self.refusal = refusal


class WorkspaceLimitedError(errors.BronzeslipError):
    """A workspace is at its limit; the request was not run."""

    code = "workspace-limited"
