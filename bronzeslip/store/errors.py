"""Errors raised by clients of the platform."""

from bronzeslip import errors


class PlatformError(errors.BronzeslipError):
    """A call to the platform failed."""

    code = "platform-error"


class PlatformUnavailableError(PlatformError):
    """The platform did not respond; a write may have taken effect."""

    code = "platform-unavailable"


class VersionConflictError(PlatformError):
    """The object is not at the version that the write expects."""

    code = "version-conflict"


class ValueTooLargeError(PlatformError):
    """The value exceeds the size limit of the platform."""

    code = "value-too-large"


class WatchExpiredError(PlatformError):
    """The platform no longer has the requested events."""

    code = "watch-expired"
