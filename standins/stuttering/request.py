"""Request that the stuttering endpoint stand-in has received."""

from collections.abc import Mapping

import msgspec


class Request(msgspec.Struct, frozen=True):
    """A whole request.

    Attributes:
        method: HTTP method.
        path: Path, as sent.
        headers: Fields by name in lower case.
        body: Whole body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
