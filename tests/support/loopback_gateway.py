"""Gateway between a caller and one scripted endpoint, over loopback."""

import asyncio

from bronzeslip.endpoints import directory
from bronzeslip.http import server
from bronzeslip.platform import endpoint_http
from bronzeslip.settings import http
from tests.support import forwarding_gateway
from tests.support import forwarding_parts
from tests.support import raw_server

_MAX_TIME_S = 10.0


class LoopbackGateway:
    """Forwards the requests of callers to a server with scripted bytes.

    Attributes:
        endpoint: Server that plays the endpoint.
        components: Components of the gateway.
    """

    def __init__(self, *scripts):
        self.endpoint = raw_server.RawServer(*scripts)
        self.components = None
        self._client = None
        self._gateway = None
        self._server = None

    async def start(self, route):
        """Starts endpoint and gateway.

        Args:
            route: The only route.
        """
        port = await self.endpoint.start()
        self._client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS,
            directory.EndpointDirectory(forwarding_parts.SETTINGS),
        )
        self._gateway = forwarding_gateway.ForwardingGateway(
            self._client,
            [
                forwarding_parts.create_endpoint(
                    "i-1", service_name="desk", host="127.0.0.1", port=port
                )
            ],
        )
        self.components = self._gateway.components
        self._gateway.adopt(route)
        self._server = server.HttpServer(self._serve, http.HttpSettings())
        self._server.start()

    async def stop(self):
        await self._server.abort()
        await self._client.close()
        await self.endpoint.stop()

    async def exchange(self, *requests):
        """Returns all bytes that are received for requests sent at once.

        The last request has to ask for the connection to be closed.
        """
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self._server.port
        )
        try:
            writer.write(b"".join(requests))
            async with asyncio.timeout(_MAX_TIME_S):
                return await reader.read()
        finally:
            writer.close()

    async def _serve(self, scope, receive, send):
        await self._gateway.serve_scope(scope, _AsgiConnection(receive, send))


class _AsgiConnection:
    def __init__(self, receive, send):
        self.receive = receive
        self.send = send


def create_request(request_id=b"q1", fields=b"", target=b"/p/x", method=b"GET"):
    """Returns the bytes of a request that ends its connection."""
    return (
        method + b" " + target + b" HTTP/1.1\r\nHost: h.example\r\n"
        b"Bronzeslip-Attempt-Id: " + request_id + b"\r\n"
        b"Bronzeslip-Key: " + forwarding_parts.API_KEY.encode() + b"\r\n"
        b"Connection: close\r\n" + fields + b"\r\n"
    )
