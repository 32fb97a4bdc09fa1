"""Pool of HTTP connections that hold no unread bytes when they are reused."""

import httpcore

from bronzeslip.http import checked_connection


class CheckedConnectionPool(httpcore.AsyncConnectionPool):
    """Pool that replaces connections with unread bytes."""

    def create_connection(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncConnectionInterface:
        """Creates a connection to a server."""
        return checked_connection.CheckedConnection(
            origin=origin,
            ssl_context=self._ssl_context,
            keepalive_expiry=self._keepalive_expiry,
            network_backend=self._network_backend,
            socket_options=self._socket_options,
        )
