"""Creates members for tests."""

import msgspec

from bronzeslip import ids
from bronzeslip.membership import member


def create_gateway(vm_id, domain="domain-1", incarnation="first"):
    return member.Member(
        ids.VmId(vm_id),
        ids.IncarnationId(incarnation),
        member.MemberRole.GATEWAY,
        ids.RegionName("region-1"),
        ids.FailureDomainName(domain),
        "127.0.0.1:1",
    )


def create_sidecar(vm_id, domain="domain-1", incarnation="first", pool="pool"):
    return msgspec.structs.replace(
        create_gateway(vm_id, domain, incarnation),
        role=member.MemberRole.SIDECAR,
        endpoint_id=ids.EndpointId(f"endpoint-of-{vm_id}"),
        pool=ids.PoolName(pool),
    )


async def read_stored(platform, record):
    """Returns the stored record of a member, or None."""
    found = await platform.get(member.key_of(record))
    if found is None:
        return None
    return msgspec.json.decode(found.value, type=member.Member)
