"""Errors of the platform adapter."""

from bronzeslip import errors


class AdapterError(errors.BronzeslipError):
    """Data of the platform can't be read."""

    code = "adapter"


class BootFileError(AdapterError):
    """The settings file can't be read."""

    code = "boot-file"


class AddressError(AdapterError):
    """A text is not a valid address."""

    code = "address"


class EntryError(AdapterError):
    """A discovery entry does not describe a usable endpoint."""

    code = "discovery-entry"


class ConfigurationError(AdapterError):
    """The configuration can't be read."""

    code = "configuration-document"
