"""Response to a call, stored for retries with the same key."""

import msgspec

from bronzeslip.transport.frames import call as frames


class KeptResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response of the endpoint, as it is stored with a claim.

    Attributes:
        status: HTTP status code.
        headers: HTTP headers.
        body: Body, or None if the response was too large to store.
    """

    status: int
    headers: tuple[frames.Header, ...] = ()
    body: bytes | None = None


def from_finished(
    finished: frames.CallFinished, max_size_bytes: int
) -> KeptResult:
    """Converts a response, without body and headers if it is too large."""
    size_bytes = len(finished.body) + sum(
        len(header.name) + len(header.value) for header in finished.headers
    )
    if size_bytes > max_size_bytes:
        return KeptResult(finished.status)
    return KeptResult(finished.status, finished.headers, finished.body)
