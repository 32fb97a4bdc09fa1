"""Fingerprints, by which a request that is sent again is recognised."""

import hashlib

import msgspec

from bronzeslip import ids

_DIGEST_BYTES = 16


def of_request(
    workspace_id: ids.WorkspaceId, model: str, prompt: str
) -> ids.Fingerprint:
    """Returns the fingerprint of a request for a generation."""
    parts = msgspec.msgpack.encode((workspace_id, model, prompt))
    digest = hashlib.blake2b(parts, digest_size=_DIGEST_BYTES)
    return ids.Fingerprint(digest.hexdigest())


def of_call(
    workspace_id: ids.WorkspaceId | None,
    method: str,
    target: bytes,
    body: bytes,
) -> ids.Fingerprint:
    """Returns the fingerprint of a request that is passed on as it is.

    Args:
        workspace_id: Workspace of the caller, or None on public routes.
        method: HTTP method.
        target: Path and query.
        body: Body.
    """
    parts = msgspec.msgpack.encode((workspace_id, method, target, body))
    digest = hashlib.blake2b(parts, digest_size=_DIGEST_BYTES)
    return ids.Fingerprint(digest.hexdigest())
