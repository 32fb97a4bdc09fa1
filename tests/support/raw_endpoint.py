"""Endpoint that sends scripted bytes, and the client that calls it."""

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.forwarding import buffered_response
from bronzeslip.forwarding import dispatch
from bronzeslip.platform import endpoint_http
from tests.support import forwarding_parts
from tests.support import raw_server

_MAX_BYTES = 200_000


class RawEndpoint:
    """Sends a script for each request that its client sends.

    Attributes:
        server: Server that sends the scripts.
    """

    def __init__(self, *scripts):
        self.server = raw_server.RawServer(*scripts)

    async def __aenter__(self):
        port = await self.server.start()
        self._client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS,
            directory.EndpointDirectory(forwarding_parts.SETTINGS),
        )
        self._endpoint = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=port
        )
        return self

    async def __aexit__(self, *_):
        await self._client.close()
        await self.server.stop()

    async def send(self, request_id, **changes):
        """Sends a request and reads the head of its response."""
        return await self._client.send(
            dispatch.Dispatch(
                request=forwarding_parts.create_request(
                    request_id=ids.RequestId(request_id), **changes
                ),
                endpoint=self._endpoint,
                remaining_s=2.0,
            )
        )

    async def call(self, request_id, **changes):
        """Sends a request and reads the whole response."""
        response = await self.send(request_id, **changes)
        return await buffered_response.read(
            response, _MAX_BYTES, forwarding_parts.create_response_memory()
        )
