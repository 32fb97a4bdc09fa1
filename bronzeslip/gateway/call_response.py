"""Answer to a call of a plain service."""

import msgspec

from bronzeslip.claims import kept_result
from bronzeslip.gateway import errors
from bronzeslip.transport.frames import call as frames


class CallResponse(msgspec.Struct, frozen=True):
    """Answer that the endpoint gave, now or to an earlier attempt.

    Attributes:
        status: HTTP status.
        headers: HTTP headers.
        body: Body.
        replayed: Whether an earlier attempt got the answer.
    """

    status: int
    headers: tuple[frames.Header, ...]
    body: bytes
    replayed: bool = False


def from_finished(
    finished: frames.CallFinished, replayed: bool = False
) -> CallResponse:
    """Returns the answer that a sidecar sent."""
    return CallResponse(
        finished.status, finished.headers, finished.body, replayed
    )


def from_kept_result(kept: kept_result.KeptResult) -> CallResponse:
    """Returns the answer that is kept with a claim.

    Raises:
        errors.AlreadyRunError: If it was too large to keep.
    """
    if kept.body is None:
        raise errors.AlreadyRunError(
            f"the call was run and answered with status {kept.status}; "
            "the answer was too large to keep"
        )
    return CallResponse(kept.status, kept.headers, kept.body, replayed=True)
