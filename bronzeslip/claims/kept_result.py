"""Response to a call, stored for retries with the same key."""

import msgspec

from bronzeslip.transport.frames import call as frames


class KeptResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response of the endpoint, as it is stored with a claim.

    Attributes:
        status: HTTP status code.
        headers: HTTP headers; empty if the response was too large to store.
        body: Body, or None if the response was too large to store.
    """

    status: int
    headers: tuple[frames.Header, ...] = ()
    body: bytes | None = None


def from_finished(
    finished: frames.CallFinished, max_size_bytes: int
) -> KeptResult:
    """Creates the result to store, only the status if it is too large.

    Args:
        finished: Response of the endpoint.
        max_size_bytes: Maximum size of headers and body together, in bytes.
    """
    size_bytes = len(finished.body) + sum(
        len(header.name) + len(header.value) for header in finished.headers
    )
    if size_bytes > max_size_bytes:
        return KeptResult(finished.status)
    return KeptResult(finished.status, finished.headers, finished.body)
