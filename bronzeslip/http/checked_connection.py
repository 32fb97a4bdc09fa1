"""HTTP connection that is not used again while it holds unread bytes."""

import httpcore


class CheckedConnection(httpcore.AsyncHTTPConnection):
    """Connection that expires if bytes follow its last response.

    Such bytes belong to no request. They would be read as the response to the
    next one, or as its beginning.
    """

    def has_expired(self) -> bool:
        """Returns whether the connection must not be used again."""
        return super().has_expired() or self._has_unread_bytes

    @property
    def _has_unread_bytes(self) -> bool:
        # The library does not offer the bytes that its parser has buffered.
        connection = self._connection
        if not isinstance(connection, httpcore.AsyncHTTP11Connection):
            return False
        if not connection.is_idle():
            return False
        unread, _ = connection._h11_state.trailing_data
        return bool(unread)
