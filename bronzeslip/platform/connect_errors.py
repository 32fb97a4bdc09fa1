"""Tells why a connection to an endpoint could not be opened."""

import errno

import httpx

from bronzeslip.forwarding import endpoint_errors

# What this machine lacks says nothing about the endpoint.
_LOCAL_ERRORS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    }
)


def to_endpoint_error(
    error: httpx.ConnectError,
) -> endpoint_errors.EndpointUnreachableError:
    """Converts an error of the HTTP client.

    Args:
        error: The error; the system's error is among its causes.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, OSError) and cause.errno in _LOCAL_ERRORS:
            return endpoint_errors.EndpointUnreachableError(
                f"no connection can be opened: {errno.errorcode[cause.errno]}"
            )
        cause = cause.__cause__ or cause.__context__
    return endpoint_errors.EndpointAbsentError("connection refused")
