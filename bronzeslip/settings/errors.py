"""Errors of settings."""

from bronzeslip import errors


class SettingsError(errors.BronzeslipError):
    """A setting has a value that is not allowed."""

    code = "bad-setting"
