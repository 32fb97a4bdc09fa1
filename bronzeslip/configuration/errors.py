"""Errors raised by configuration operations."""

from bronzeslip import errors
from bronzeslip import ids


class ConfigurationError(errors.BronzeslipError):
    """A configuration operation failed."""

    code = "configuration-error"


class InvalidDocumentError(ConfigurationError):
    """A document is not a valid configuration."""

    code = "configuration-invalid"


class StaleConfigurationError(ConfigurationError):
    """The configuration on which a patch is based is no longer current."""

    code = "configuration-stale"

    def __init__(self, current_number: ids.ConfigurationNumber) -> None:
        super().__init__(
            f"the current configuration number is {current_number}"
        )
        self.current_number = current_number


class OutcomeUnknownError(ConfigurationError):
    """It is unknown whether a patch was accepted."""

    code = "configuration-outcome-unknown"


class NoConfigurationError(ConfigurationError):
    """No configuration is active in this process yet."""

    code = "configuration-missing"
