"""Where a process runs, and the bounds that are set for it."""

import msgspec

from bronzeslip import ids


class SocketAddress(msgspec.Struct, frozen=True):
    """An IP number and a port."""

    host: str
    port: int


class PlaceBounds(msgspec.Struct, frozen=True):
    """Bounds that the operators set.

    Attributes:
        grace_s: Time between the request to end and the forced end.
        retry_ratio: Repeats allowed as a share of a service's requests.
        retry_slack: Repeats allowed besides, for all gateways together.
        retry_window_s: Window in which repeats are counted, in seconds.
    """

    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float


class VmConfig(msgspec.Struct, frozen=True):
    """Place of one process.

    Attributes:
        vm_id: VM that it runs on.
        failure_domain: Failure domain of the VM.
        regions: Region of each failure domain.
        callers: Address that callers connect to.
        readiness: Address at which the balancer asks for readiness.
        store: Address of the store.
        bounds: Bounds that the operators set.
    """

    vm_id: ids.VmId
    failure_domain: ids.FailureDomainName
    regions: dict[ids.FailureDomainName, ids.RegionName]
    callers: SocketAddress
    readiness: SocketAddress
    store: SocketAddress
    bounds: PlaceBounds

    def is_in_region(self, failure_domain: ids.FailureDomainName) -> bool:
        """Tells whether a failure domain is in this process's region."""
        own_region = self.regions.get(self.failure_domain)
        return (
            own_region is not None
            and self.regions.get(failure_domain) == own_region
        )
