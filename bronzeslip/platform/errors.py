"""Errors of the adapter."""

from bronzeslip import errors


class AdapterError(errors.BronzeslipError):
    """Something of the platform can't be read."""

    code = "adapter"


class BootFileError(AdapterError):
    """The settings file can't be read."""

    code = "boot-file"


class AddressError(AdapterError):
    """A text is no address."""

    code = "address"


class EntryError(AdapterError):
    """An entry of the discovery names no endpoint to use."""

    code = "discovery-entry"


class ConfigurationError(AdapterError):
    """The configuration can't be read."""

    code = "configuration-document"
