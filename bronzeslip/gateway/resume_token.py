"""Tokens with which a caller reads on at any gateway."""

import base64
import binascii
import hmac

import msgspec

from bronzeslip import ids
from bronzeslip.gateway import errors
from bronzeslip.settings import gateway

_DIGEST = "sha256"
_PURPOSE = b"bronzeslip-resume-token"
_MAC_BYTES = 16

_encoder = msgspec.msgpack.Encoder()


class ResumeToken(msgspec.Struct, frozen=True, array_like=True):
    """Where a caller stands in a generation.

    Attributes:
        endpoint_id: Endpoint that runs the generation.
        generation_id: The generation.
        request_id: Request that it serves.
        next_index: Index of the first token that the caller lacks.
    """

    endpoint_id: ids.EndpointId
    generation_id: ids.GenerationId
    request_id: ids.RequestId
    next_index: int


_decoder = msgspec.msgpack.Decoder(ResumeToken)


class ResumeTokenSigner:
    """Signs tokens for a workspace with the key of the system."""

    def __init__(self, settings: gateway.GatewaySettings) -> None:
        self._key = hmac.digest(settings.peer_key.encode(), _PURPOSE, _DIGEST)

    def sign(self, workspace_id: ids.WorkspaceId, token: ResumeToken) -> str:
        """Renders a token that only this workspace can use."""
        data = _encoder.encode(token)
        mac = self._mac(workspace_id, data)
        return base64.urlsafe_b64encode(mac + data).decode()

    def verify(self, workspace_id: ids.WorkspaceId, text: str) -> ResumeToken:
        """Reads a token.

        Raises:
            errors.BadResumeTokenError: If it is not one of this workspace.
        """
        try:
            signed = base64.urlsafe_b64decode(text.encode())
            mac, data = signed[:_MAC_BYTES], signed[_MAC_BYTES:]
            if hmac.compare_digest(mac, self._mac(workspace_id, data)):
                return _decoder.decode(data)
        except (binascii.Error, ValueError, msgspec.MsgspecError) as error:
            raise errors.BadResumeTokenError("it is malformed") from error
        raise errors.BadResumeTokenError("it is not known to this workspace")

    def _mac(self, workspace_id: ids.WorkspaceId, data: bytes) -> bytes:
        # The length keeps the workspace apart from the data behind it.
        name = workspace_id.encode()
        signed = len(name).to_bytes(4, "big") + name + data
        return hmac.digest(self._key, signed, _DIGEST)[:_MAC_BYTES]
