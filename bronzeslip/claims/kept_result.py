"""Answer to a call, kept for retries."""

import msgspec

from bronzeslip.transport.frames import call as frames


class KeptResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer that the endpoint gave.

    Attributes:
        status: HTTP status.
        headers: HTTP headers.
        body: Body, or None if it was too large to keep.
    """

    status: int
    headers: tuple[frames.Header, ...] = ()
    body: bytes | None = None


def from_finished(
    finished: frames.CallFinished, limit_bytes: int
) -> KeptResult:
    """Keeps an answer, without its body and headers if it is too large."""
    size_bytes = len(finished.body) + sum(
        len(header.name) + len(header.value) for header in finished.headers
    )
    if size_bytes > limit_bytes:
        return KeptResult(finished.status)
    return KeptResult(finished.status, finished.headers, finished.body)
