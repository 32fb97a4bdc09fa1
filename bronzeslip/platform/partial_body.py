"""Body of which a part has been received."""

_PART_BYTES = 16 * 1024


class PartialBody:
    """Collects a body in parts of similar size.

    A single growing array is moved again and again; what hundreds of them leave
    behind in the heap took 20 MB in a gateway of 120 MB. Chunks as they arrive
    may be of one byte, which takes forty times as much as an object of its own.

    Attributes:
        size_bytes: Bytes received.
    """

    def __init__(self) -> None:
        """Creates an empty body."""
        self.size_bytes = 0
        self._parts: list[bytes | bytearray] = []

    def add(self, chunk: bytes) -> None:
        """Adds received bytes."""
        self.size_bytes += len(chunk)
        if len(chunk) >= _PART_BYTES:
            self._parts.append(chunk)
            return
        last = self._parts[-1] if self._parts else b""
        if not isinstance(last, bytearray) or len(last) >= _PART_BYTES:
            last = bytearray()
            self._parts.append(last)
        last += chunk

    def join(self) -> bytes:
        """Returns the body and empties this object."""
        body = b"".join(self._parts)
        self._parts.clear()
        return body
