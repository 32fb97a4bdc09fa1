"""Recognition of the head of a response inside a body."""

import re

_VERSION = b"HTTP/1."
_HEAD_END = b"\r\n\r\n"
_MAX_HEAD_BYTES = 16 * 1024
_MAX_FIELDS = 64


class HeadScanner:
    """Finds the head of a response in the chunks of a body.

    A body that is cut off, or that ends with its connection, has no boundary to
    what a faulty server sends after it.
    """

    def __init__(self, field_name: bytes) -> None:
        """Creates a scanner.

        Args:
            field_name: Name of a field that the heads of responses have and
                that no text has which merely quotes HTTP.
        """
        self._pattern = re.compile(
            rb"HTTP/1\.[01] \d{3}[^\r\n]*\r\n(?:[^\r\n]+\r\n){0,%d}?%s:"
            % (_MAX_FIELDS, re.escape(field_name)),
            re.IGNORECASE,
        )
        # Bytes that may be the beginning of a head.
        self._beginning = b""

    def find(self, chunk: bytes) -> int | None:
        """Returns how many bytes of a chunk precede a head, None if all do.

        Args:
            chunk: Next bytes of the body.
        """
        data = self._beginning + chunk
        if _VERSION not in data:
            self._beginning = data[1 - len(_VERSION) :]
            return None
        found = self._pattern.search(data)
        if found is not None:
            return max(found.start() - len(self._beginning), 0)
        self._beginning = _possible_beginning(data)
        return None

    def reaches_beyond(self, following: bytes) -> bool:
        """Returns whether a head begins in the body and goes on after it.

        Args:
            following: Bytes received after the end of the body.
        """
        found = self._pattern.search(self._beginning + following)
        return found is not None and found.start() < len(self._beginning)


def _possible_beginning(data: bytes) -> bytes:
    start = data.find(_VERSION, data.rfind(_HEAD_END) + 1)
    if start < 0 or len(data) - start > _MAX_HEAD_BYTES:
        return data[1 - len(_VERSION) :]
    return data[start:]
