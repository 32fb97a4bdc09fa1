"""Tokens with which a caller reads on at any gateway."""

import base64
import hashlib
import hmac

import msgspec

from bronzeslip import ids
from bronzeslip.gateway import errors
from bronzeslip.settings import gateway

_DIGEST = "sha256"
_KEY_CONTEXT = b"bronzeslip-resume-token"
_MAC_BYTES = 16
_PART_COUNT = 3


class ResumableRun(msgspec.Struct, frozen=True, array_like=True):
    """A generation that a caller may read on.

    Attributes:
        endpoint_id: Endpoint that runs it.
        generation_id: The generation.
        request_id: Request that it serves.
    """

    endpoint_id: ids.EndpointId
    generation_id: ids.GenerationId
    request_id: ids.RequestId


class ResumeToken(msgspec.Struct, frozen=True):
    """Where a caller stands in a generation.

    Attributes:
        run: The generation.
        next_index: Index of the first token that the caller lacks.
    """

    run: ResumableRun
    next_index: int


class ResumeTokenSeries:
    """Tokens of one generation, each signed with its index."""

    def __init__(
        self, key: bytes, workspace_id: ids.WorkspaceId, run: ResumableRun
    ) -> None:
        signed = msgspec.msgpack.encode((workspace_id, run))
        self._mac = hashlib.blake2b(signed, key=key, digest_size=_MAC_BYTES)
        encoded_run = base64.urlsafe_b64encode(msgspec.msgpack.encode(run))
        self._encoded_run = encoded_run.decode()

    def token_at(self, next_index: int) -> str:
        """Renders the token of an index."""
        mac = self._mac.copy()
        mac.update(b"%d" % next_index)
        return f"{next_index}.{mac.hexdigest()}.{self._encoded_run}"


class ResumeTokenSigner:
    """Signs tokens for a workspace with the key of the system."""

    def __init__(self, settings: gateway.GatewaySettings) -> None:
        self._keys = [
            hmac.digest(peer_key.encode(), _KEY_CONTEXT, _DIGEST)
            for peer_key in (settings.peer_key, *settings.accepted_peer_keys)
        ]

    def series(
        self, workspace_id: ids.WorkspaceId, run: ResumableRun
    ) -> ResumeTokenSeries:
        """Returns the tokens of a generation of a workspace."""
        return ResumeTokenSeries(self._keys[0], workspace_id, run)

    def verify(self, workspace_id: ids.WorkspaceId, text: str) -> ResumeToken:
        """Reads a token.

        Raises:
            errors.BadResumeTokenError: If it is not one of this workspace.
        """
        token = _parse(text)
        expected = [
            ResumeTokenSeries(key, workspace_id, token.run)
            .token_at(token.next_index)
            .encode()
            for key in self._keys
        ]
        matches = [
            hmac.compare_digest(valid_token, text.encode())
            for valid_token in expected
        ]
        if not any(matches):
            raise errors.BadResumeTokenError(
                "it is not known to this workspace"
            )
        return token


def _parse(text: str) -> ResumeToken:
    parts = text.split(".")
    if len(parts) != _PART_COUNT:
        raise errors.BadResumeTokenError("it is malformed")
    try:
        data = base64.urlsafe_b64decode(parts[2].encode())
        run = msgspec.msgpack.decode(data, type=ResumableRun)
        return ResumeToken(run, int(parts[0]))
    except (ValueError, msgspec.MsgspecError) as error:
        raise errors.BadResumeTokenError("it is malformed") from error
