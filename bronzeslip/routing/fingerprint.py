"""Fingerprints that identify repeated requests."""

import hashlib

import msgspec

from bronzeslip import ids

_DIGEST_BYTES = 16


def of_request(
    workspace_id: ids.WorkspaceId, model: str, prompt: str
) -> ids.Fingerprint:
    """Returns the fingerprint of a generation request."""
    parts = msgspec.msgpack.encode((workspace_id, model, prompt))
    digest = hashlib.blake2b(parts, digest_size=_DIGEST_BYTES)
    return ids.Fingerprint(digest.hexdigest())


def of_prompt_part(part_id: str) -> ids.Fingerprint:
    """Returns the fingerprint of one part of a prompt, from any caller."""
    digest = hashlib.blake2b(part_id.encode(), digest_size=_DIGEST_BYTES)
    return ids.Fingerprint(digest.hexdigest())


def of_call(
    workspace_id: ids.WorkspaceId | None,
    method: str,
    target: bytes,
    body: bytes,
) -> ids.Fingerprint:
    """Returns the fingerprint of a request that is forwarded unchanged.

    Args:
        workspace_id: Workspace of the caller, or None on public routes.
        method: HTTP method.
        target: Request target, that is, path and query string.
        body: Request body.
    """
    parts = msgspec.msgpack.encode((workspace_id, method, target, body))
    digest = hashlib.blake2b(parts, digest_size=_DIGEST_BYTES)
    return ids.Fingerprint(digest.hexdigest())
