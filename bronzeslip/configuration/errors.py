"""Errors of the configuration."""

from bronzeslip import errors
from bronzeslip import ids


class ConfigurationError(errors.BronzeslipError):
    """A configuration operation failed."""

    code = "configuration-error"


class InvalidDocumentError(ConfigurationError):
    """A document does not describe a valid configuration."""

    code = "configuration-invalid"


class StaleNumberError(ConfigurationError):
    """A patch was made against a number that is no longer current."""

    code = "configuration-stale"

    def __init__(self, current: ids.ConfigurationNumber) -> None:
        super().__init__(f"the current configuration number is {current}")
        self.current = current


class OutcomeUnknownError(ConfigurationError):
    """A patch may or may not have been accepted."""

    code = "configuration-outcome-unknown"


class NoConfigurationError(ConfigurationError):
    """This process has no configuration in force yet."""

    code = "configuration-missing"
