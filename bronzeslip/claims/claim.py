"""Claim of one idempotency key."""

import hashlib

import msgspec

from bronzeslip import ids
from bronzeslip.claims import kept_result
from bronzeslip.transport.frames import call as frames

CLAIMS_PREFIX = "claims/"
SHARD_COUNT = 256


class Claim(msgspec.Struct, frozen=True, omit_defaults=True):
    """Who may dispatch the call of a key, and how it ended.

    Attributes:
        call_id: Attempt that alone may dispatch the call.
        request_sha256: Digest of the request that the key stands for.
        address: Sidecar that the attempt may be dispatched to.
        ticket: Ticket of that sidecar.
        claimed_unix_s: When the key was claimed by the claimant's wall
            clock, in seconds; decides only how long the claim is kept.
        result: Answer of the endpoint, once it is known.
    """

    call_id: ids.CallId
    request_sha256: str
    address: str
    ticket: frames.DispatchTicket
    claimed_unix_s: int
    result: kept_result.KeptResult | None = None


class StoredClaim(msgspec.Struct, frozen=True):
    """A claim as the platform keeps it.

    Attributes:
        key: Name of the object.
        version: Version of the object.
        claim: The claim itself.
    """

    key: ids.ObjectKey
    version: ids.ObjectVersion
    claim: Claim


def key_of(
    workspace_id: ids.WorkspaceId,
    service_name: ids.ServiceName,
    idempotency_key: str,
) -> ids.ObjectKey:
    """Returns the platform key of the claim of an idempotency key."""
    scoped = msgspec.msgpack.encode(
        (workspace_id, service_name, idempotency_key)
    )
    digest = hashlib.sha256(scoped).hexdigest()
    shard = int(digest[:8], 16) % SHARD_COUNT
    return ids.ObjectKey(f"{shard_prefix(shard)}{digest}")


def shard_prefix(shard: int) -> str:
    """Returns the start of the platform keys of a shard's claims."""
    return f"{CLAIMS_PREFIX}{shard:02x}/"


def request_digest(method: str, path: str, body: bytes) -> str:
    """Returns the digest of what a call asks for."""
    return hashlib.sha256(
        msgspec.msgpack.encode((method, path, body))
    ).hexdigest()
