"""HTTP client for calls to other gateways."""

import asyncio

import httpx
import msgspec

from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.http import bounded_transport
from bronzeslip.http import silence_detection
from bronzeslip.quota import errors
from bronzeslip.quota import peer
from bronzeslip.quota import permit_reply
from bronzeslip.quota import permit_request
from bronzeslip.settings import entry

# A gateway coordinates few endpoints, so it asks few others at once.
_MAX_CONNECTIONS = 50


class HttpPeerClient:
    """Calls other gateways over HTTP."""

    def __init__(self, settings: entry.EntrySettings) -> None:
        """Creates a client without connections.

        Args:
            settings: Timeout of a call and limit on the size of a reply.
        """
        self._timeout_s = settings.peer_timeout_s
        self._http = httpx.AsyncClient(
            timeout=None,
            transport=bounded_transport.BoundedTransport(
                settings.response_head_max_bytes,
                _MAX_CONNECTIONS,
                silence_detection.socket_options(settings.peer_silence_s),
            ),
            trust_env=False,
        )

    async def ask(
        self, target: peer.Peer, request: permit_request.PermitRequest
    ) -> permit_reply.PermitReply:
        """Asks another gateway for a permit.

        Raises:
            errors.PeerUnavailableError: If there was no valid reply in time.
        """
        address = target.address
        try:
            async with asyncio.timeout(self._timeout_s):
                response = await self._http.post(
                    f"http://{address.host}:{address.port}/permits",
                    content=msgspec.json.encode(request),
                    headers={"Content-Type": "application/json"},
                )
            response.raise_for_status()
            return untrusted.from_json(
                response.content, permit_reply.PermitReply
            )
        except (
            httpx.HTTPError,
            httpx.InvalidURL,
            TimeoutError,
            decoding_errors.UndecodableError,
        ) as error:
            raise errors.PeerUnavailableError(
                f"{target.vm_id}: {type(error).__name__}"
            ) from error
