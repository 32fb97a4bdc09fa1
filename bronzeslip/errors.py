"""Base class of the errors of every layer."""


class BronzeslipError(Exception):
    """An error with a stable code.

    Attributes:
        code: Stable identifier of the kind of error, in kebab-case.
        message: Human-readable explanation.
        retry_after_s: Delay after which a retry may succeed, in seconds, or
            None.
    """

    code = "internal"

    def __init__(
        self, message: str, *, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s
