"""HTTP client for calls to other gateways."""

from typing import TypeVar

import httpx
import msgspec

from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.http import bounded_exchange
from bronzeslip.http import bounded_transport
from bronzeslip.http import silence_detection
from bronzeslip.placement import placement_reply
from bronzeslip.placement import placement_request
from bronzeslip.quota import errors
from bronzeslip.quota import peer
from bronzeslip.quota import permit_reply
from bronzeslip.quota import permit_request
from bronzeslip.settings import entry

# A gateway coordinates few endpoints, so it asks few others at once.
_MAX_CONNECTIONS = 50

ReplyT = TypeVar("ReplyT")


class HttpPeerClient:
    """Calls other gateways over HTTP."""

    def __init__(self, settings: entry.EntrySettings) -> None:
        """Creates a client without connections.

        Args:
            settings: Timeout of a call and limit on the size of a reply.
        """
        self._timeout_s = settings.peer_timeout_s
        self._max_body_bytes = settings.control_response_max_bytes
        self._http = httpx.AsyncClient(
            timeout=None,
            headers={"Accept-Encoding": "identity"},
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
        return await self._post(
            target, "/permits", request, permit_reply.PermitReply
        )

    async def place(
        self, target: peer.Peer, request: placement_request.PlacementRequest
    ) -> placement_reply.PlacementReply:
        """Asks another gateway for a placement.

        Raises:
            errors.PeerUnavailableError: If there was no valid reply in time.
        """
        return await self._post(
            target, "/placements", request, placement_reply.PlacementReply
        )

    async def _post(
        self,
        target: peer.Peer,
        path: str,
        message: msgspec.Struct,
        reply_type: type[ReplyT],
    ) -> ReplyT:
        address = target.address
        try:
            response = await bounded_exchange.request(
                self._http,
                "POST",
                f"http://{address.host}:{address.port}{path}",
                self._timeout_s,
                self._max_body_bytes,
                content=msgspec.json.encode(message),
                headers={"Content-Type": "application/json"},
            )
            response.raise_for_status()
            return untrusted.from_json(response.content, reply_type)
        except (
            httpx.HTTPError,
            httpx.InvalidURL,
            decoding_errors.UndecodableError,
        ) as error:
            raise errors.PeerUnavailableError(
                f"{target.vm_id}: {type(error).__name__}"
            ) from error
