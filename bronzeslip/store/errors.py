"""Errors of the platform client."""

from bronzeslip import errors


class PlatformError(errors.BronzeslipError):
    """A call to the platform failed."""

    code = "platform-error"


class PlatformUnavailableError(PlatformError):
    """The platform gave no answer; a write may have taken effect."""

    code = "platform-unavailable"


class VersionConflictError(PlatformError):
    """The object is not at the version that the write was made against."""

    code = "version-conflict"


class ValueTooLargeError(PlatformError):
    """The value is larger than the platform stores."""

    code = "value-too-large"


class WatchExpiredError(PlatformError):
    """The platform no longer keeps the events asked for."""

    code = "watch-expired"
