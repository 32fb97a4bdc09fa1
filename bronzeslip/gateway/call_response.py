"""Response to a call of a plain service."""

import msgspec

from bronzeslip.claims import kept_result
from bronzeslip.gateway import errors
from bronzeslip.transport.frames import call as frames


class CallResponse(msgspec.Struct, frozen=True):
    """Response of the endpoint to this attempt or an earlier one.

    Attributes:
        status: HTTP status.
        headers: HTTP headers.
        body: Body.
        replayed: Whether the response was produced for an earlier attempt.
    """

    status: int
    headers: tuple[frames.Header, ...]
    body: bytes
    replayed: bool = False


def from_finished(
    finished: frames.CallFinished, replayed: bool = False
) -> CallResponse:
    """Converts the final frame of a call to its response."""
    return CallResponse(
        finished.status, finished.headers, finished.body, replayed
    )


def from_kept_result(kept: kept_result.KeptResult) -> CallResponse:
    """Converts the result stored with a claim to its response.

    Raises:
        errors.AlreadyRunError: If the body was too large to store.
    """
    if kept.body is None:
        raise errors.AlreadyRunError(
            f"the call completed with status {kept.status}, but its response "
            "was too large to store"
        )
    return CallResponse(kept.status, kept.headers, kept.body, replayed=True)
