"""Errors of decoding data from outside the process."""

from bronzeslip import errors


class UndecodableError(errors.BronzeslipError):
    """The data can't be decoded into the expected type."""

    code = "undecodable"
