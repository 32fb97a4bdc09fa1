"""Body of which a part has been received."""

_PART_BYTES = 16 * 1024
# Blocks of this size go back to the system when they are freed.
_LARGE_BYTES = 128 * 1024


class PartialBody:
    """Collects a body without moving it as it grows.

    A single growing array is moved again and again; what hundreds of them left
    behind in the heap took 20 MB in a gateway of 120 MB. Chunks as they arrive
    may be of one byte, which takes forty times as much as an object of its own.

    Attributes:
        size_bytes: Bytes received.
    """

    def __init__(self, stated_bytes: int | None = None) -> None:
        """Creates an empty body.

        Args:
            stated_bytes: Length of the whole body, or None if it is unknown.
                Small parts of a large body would stay in the heap when it is
                joined, so that it took twice its size.
        """
        self.size_bytes = 0
        self._whole = bytearray()
        if stated_bytes is not None and stated_bytes >= _LARGE_BYTES:
            self._whole = bytearray(stated_bytes)
        self._parts: list[bytes | bytearray] = []

    def add(self, chunk: bytes) -> None:
        """Adds received bytes.

        Raises:
            ValueError: If there are more than the stated length.
        """
        end = self.size_bytes + len(chunk)
        if not self._whole:
            self._add_part(chunk)
        elif end > len(self._whole):
            raise ValueError("more bytes than the stated length")
        else:
            self._whole[self.size_bytes : end] = chunk
        self.size_bytes = end

    def join(self) -> bytes:
        """Returns the body and empties this object."""
        if self._whole:
            body = bytes(memoryview(self._whole)[: self.size_bytes])
        else:
            body = b"".join(self._parts)
        self._whole = bytearray()
        self._parts.clear()
        return body

    def _add_part(self, chunk: bytes) -> None:
        if len(chunk) >= _PART_BYTES:
            self._parts.append(chunk)
            return
        last = self._parts[-1] if self._parts else b""
        if not isinstance(last, bytearray) or len(last) >= _PART_BYTES:
            last = bytearray()
            self._parts.append(last)
        last += chunk
