"""Errors raised for invalid settings."""

from bronzeslip import errors


class SettingsError(errors.BronzeslipError):
    """A setting is missing, unknown or has an invalid value."""

    code = "bad-setting"
