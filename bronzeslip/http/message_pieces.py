"""Splits received bytes where a request may end."""

_MESSAGE_END = b"\r\n\r\n"
# A piece of this size holds about a thousand fields, or 700 chunks of a byte.
MAX_PIECE_BYTES = 4 * 1024


class MessagePieces:
    """Received bytes, taken in pieces that hold parts of one request only.

    Heads and chunked bodies end with an empty line, bodies of stated length
    after that many bytes. The parser can't be stopped within a piece.
    """

    def __init__(self) -> None:
        """Creates an empty buffer."""
        self._data = b""
        self._start = 0
        # Last bytes taken, as an empty line may be split.
        self._tail = b""

    def __len__(self) -> int:
        return len(self._data) - self._start

    def add(self, data: bytes) -> None:
        """Adds received bytes."""
        self._data = self._data[self._start :] + data if self else data
        self._start = 0

    def clear(self) -> None:
        """Drops all bytes."""
        self._data = b""
        self._start = 0

    def take(self, remaining_bytes: int) -> bytes:
        """Takes the next piece.

        Args:
            remaining_bytes: What remains of a body of stated length, or 0 in a
                head or a chunked body.
        """
        size_bytes = remaining_bytes or self._size_to_empty_line()
        piece = self._data[self._start : self._start + size_bytes]
        self._start += len(piece)
        self._tail = (self._tail + piece[-3:])[-3:]
        if not self:
            self.clear()
        return piece

    def _size_to_empty_line(self) -> int:
        """Returns the size up to the end of an empty line, or the maximum."""
        joint = self._tail + self._data[self._start : self._start + 3]
        found = joint.find(_MESSAGE_END)
        if found >= 0:
            return found + len(_MESSAGE_END) - len(self._tail)
        end = self._start + MAX_PIECE_BYTES
        found = self._data.find(_MESSAGE_END, self._start, end)
        if found < 0:
            return MAX_PIECE_BYTES
        return found + len(_MESSAGE_END) - self._start
