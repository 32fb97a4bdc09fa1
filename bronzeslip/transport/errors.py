"""Errors of peer connections."""

from bronzeslip import errors


class TransportError(errors.BronzeslipError):
    """A peer connection failed."""

    code = "transport-error"


class ConnectionLostError(TransportError):
    """The connection ended or timed out."""

    code = "connection-lost"


class UnencodableFrameError(TransportError):
    """A frame holds a value that can't be encoded."""

    code = "unencodable-frame"


class BadFrameError(TransportError):
    """A peer sent data that is not a valid frame."""

    code = "bad-frame"
