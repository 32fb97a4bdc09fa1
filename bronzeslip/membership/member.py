"""Record under which a process registers for others to find."""

import enum

import msgspec

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.settings import common

logger = logs.get_logger(__name__)

MEMBERS_PREFIX = "members/"
GATEWAYS_PREFIX = "members/gateway/"
SIDECARS_PREFIX = "members/sidecar/"


class MemberRole(enum.Enum):
    """Program that a member runs."""

    GATEWAY = "gateway"
    SIDECAR = "sidecar"


class MemberState(enum.Enum):
    """Whether a member accepts new work."""

    SERVING = "serving"
    DRAINING = "draining"


class Member(msgspec.Struct, frozen=True):
    """Record of one incarnation of a process.

    Attributes:
        vm_id: VM that the process runs on.
        incarnation_id: Random id generated at each start of the process.
        role: Program that the process runs.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        address: IP address and peer port.
        state: Whether it accepts new work.
        endpoint_id: Endpoint that a sidecar serves.
        pool: Pool of the endpoint.
    """

    vm_id: ids.VmId
    incarnation_id: ids.IncarnationId
    role: MemberRole
    region: ids.RegionName
    failure_domain: ids.FailureDomainName
    address: str
    state: MemberState = MemberState.SERVING
    endpoint_id: ids.EndpointId | None = None
    pool: ids.PoolName | None = None


def key_of(member: Member) -> ids.ObjectKey:
    """Returns the platform key under which a member registers."""
    name = member.endpoint_id or member.vm_id
    return ids.ObjectKey(f"{MEMBERS_PREFIX}{member.role.value}/{name}")


def decode(value: msgspec.Raw) -> Member | None:
    """Decodes a stored record, returns None if it is invalid."""
    try:
        return untrusted.from_json(value, Member)
    except decoding_errors.UndecodableError as error:
        logger.error("membership.unreadable", reason=error.message)
        return None


def from_settings(
    settings: common.CommonSettings,
    role: MemberRole,
    incarnation_id: ids.IncarnationId,
    listening_port: int,
) -> Member:
    """Creates the record of this process, without an endpoint.

    Args:
        settings: Settings of the process.
        role: Program that the process runs.
        incarnation_id: Random id generated at the start of the process.
        listening_port: Peer port that it listens on.
    """
    port = settings.advertise_peer_port or listening_port
    return Member(
        vm_id=settings.vm_id,
        incarnation_id=incarnation_id,
        role=role,
        region=settings.region,
        failure_domain=settings.failure_domain,
        address=f"{settings.advertise_address}:{port}",
    )
