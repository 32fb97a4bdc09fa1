"""Identifiers used across the package."""

import secrets
from typing import NewType

RequestId = NewType("RequestId", str)
GenerationId = NewType("GenerationId", str)
CallId = NewType("CallId", str)
WorkspaceId = NewType("WorkspaceId", str)
RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
PoolName = NewType("PoolName", str)
VmId = NewType("VmId", str)
EndpointId = NewType("EndpointId", str)
HandleId = NewType("HandleId", str)
IncarnationId = NewType("IncarnationId", str)
RegionName = NewType("RegionName", str)
FailureDomainName = NewType("FailureDomainName", str)
PatchId = NewType("PatchId", str)
OperatorName = NewType("OperatorName", str)
ConfigurationNumber = NewType("ConfigurationNumber", int)
Fingerprint = NewType("Fingerprint", str)
CrashId = NewType("CrashId", str)
ObjectKey = NewType("ObjectKey", str)
ObjectVersion = NewType("ObjectVersion", int)
TableVersion = NewType("TableVersion", int)

_RANDOM_ID_BYTES = 16


def random_id() -> str:
    """Returns 128 random bits as a hexadecimal string."""
    return secrets.token_hex(_RANDOM_ID_BYTES)
