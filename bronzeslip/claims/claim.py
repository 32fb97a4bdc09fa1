"""Stored claim of one idempotency key, and its platform key."""

import hashlib

import msgspec

from bronzeslip import ids
from bronzeslip.claims import kept_result
from bronzeslip.transport.frames import call as frames

CLAIMS_PREFIX = "claims/"
SHARD_COUNT = 256


class Claim(msgspec.Struct, frozen=True, omit_defaults=True):
    """Attempt that owns an idempotency key, and the result of its call.

    Attributes:
        call_id: Id of the only attempt that may dispatch the call.
        request_sha256: Digest of the request bound to the key.
        address: Address of the sidecar that the call may be dispatched to.
        ticket: Dispatch ticket issued by that sidecar.
        claimed_unix_s: Time of the claim on the claimant's wall clock, in
            seconds since the epoch; used only for retention.
        result: Response of the endpoint, or None until it is known.
    """

    call_id: ids.CallId
    request_sha256: str
    address: str
    ticket: frames.DispatchTicket
    claimed_unix_s: int
    result: kept_result.KeptResult | None = None


class StoredClaim(msgspec.Struct, frozen=True):
    """A claim with the key and version of its stored object.

    Attributes:
        key: Key of the object.
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
    """Returns the platform key of the claim for an idempotency key."""
    scoped = msgspec.msgpack.encode(
        (workspace_id, service_name, idempotency_key)
    )
    digest = hashlib.sha256(scoped).hexdigest()
    shard = int(digest[:8], 16) % SHARD_COUNT
    return ids.ObjectKey(f"{shard_prefix(shard)}{digest}")


def shard_prefix(shard: int) -> str:
    """Returns the platform key prefix of the claims in a shard."""
    return f"{CLAIMS_PREFIX}{shard:02x}/"


def request_digest(method: str, path: str, body: bytes) -> str:
    """Returns the digest of a request's method, path and body."""
    return hashlib.sha256(
        msgspec.msgpack.encode((method, path, body))
    ).hexdigest()
