"""Tokens with which a caller resumes a stream at any gateway."""

import base64
import hashlib
import hmac

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.gateway import errors
from bronzeslip.settings import gateway

_DIGEST = "sha256"
_KEY_CONTEXT = b"bronzeslip-resume-token"
_MAC_BYTES = 16
_PART_COUNT = 3


class ResumableRun(msgspec.Struct, frozen=True, array_like=True):
    """Generation that a caller may resume.

    Attributes:
        endpoint_id: Endpoint that runs the generation.
        generation_id: Id of the generation.
        request_id: Id of the request that started the generation.
    """

    endpoint_id: ids.EndpointId
    generation_id: ids.GenerationId
    request_id: ids.RequestId


class ResumeToken(msgspec.Struct, frozen=True):
    """Position of a caller in a generation.

    Attributes:
        run: The generation.
        next_index: Index of the first token that the caller has not received.
    """

    run: ResumableRun
    next_index: int


class ResumeTokenSeries:
    """Resume tokens of one generation, one for each token index.

    The MAC of the workspace and the generation is computed once; each token
    extends a copy of it with its index.
    """

    def __init__(
        self, key: bytes, workspace_id: ids.WorkspaceId, run: ResumableRun
    ) -> None:
        signed = msgspec.msgpack.encode((workspace_id, run))
        self._mac = hashlib.blake2b(signed, key=key, digest_size=_MAC_BYTES)
        encoded_run = base64.urlsafe_b64encode(msgspec.msgpack.encode(run))
        self._encoded_run = encoded_run.decode()

    def token_at(self, next_index: int) -> str:
        """Returns the resume token for an index."""
        mac = self._mac.copy()
        mac.update(b"%d" % next_index)
        return f"{next_index}.{mac.hexdigest()}.{self._encoded_run}"


class ResumeTokenSigner:
    """Signs and verifies resume tokens with keys derived from the peer keys.

    Tokens are signed with the current key. Tokens that were signed with
    another accepted key are still valid, so that they outlive a key rotation.
    """

    def __init__(self, settings: gateway.GatewaySettings) -> None:
        self._keys = [
            hmac.digest(peer_key.encode(), _KEY_CONTEXT, _DIGEST)
            for peer_key in (settings.peer_key, *settings.accepted_peer_keys)
        ]

    def series(
        self, workspace_id: ids.WorkspaceId, run: ResumableRun
    ) -> ResumeTokenSeries:
        """Returns the resume tokens of a generation of a workspace."""
        return ResumeTokenSeries(self._keys[0], workspace_id, run)

    def verify(self, workspace_id: ids.WorkspaceId, text: str) -> ResumeToken:
        """Verifies and decodes a resume token.

        Raises:
            errors.BadResumeTokenError: If the token is malformed or was not
                issued to the workspace.
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
                "the Last-Event-ID was not issued to this workspace"
            )
        return token


def _parse(text: str) -> ResumeToken:
    parts = text.split(".")
    if len(parts) != _PART_COUNT:
        raise errors.BadResumeTokenError("the Last-Event-ID is malformed")
    try:
        data = base64.urlsafe_b64decode(parts[2].encode())
        run = untrusted.from_msgpack(data, ResumableRun)
        return ResumeToken(run, int(parts[0]))
    except (ValueError, decoding_errors.UndecodableError) as error:
        raise errors.BadResumeTokenError(
            "the Last-Event-ID is malformed"
        ) from error
