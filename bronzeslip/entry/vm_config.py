"""Location, addresses and limits of a process."""

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import fields
from bronzeslip.entry import contract


class SocketAddress(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: fields.HostName
    port: fields.Port


class PlaceBounds(msgspec.Struct, frozen=True):
    """Limits that operators set.

    The event settings.reloaded logs the name of this class.

    Attributes:
        grace_s: Time between the request to shut down and the forced end, in
            seconds.
        retry_ratio: Retries allowed per request to a service.
        retry_slack: Further retries allowed per window, for all gateways
            together.
        retry_window_s: Window in which retries are counted, in seconds.
        drain_s: Time after which an endpoint that the store lists as leaving
            must receive no new requests, in seconds.
        config_s: Time within which a new configuration must be in force, in
            seconds.
        contact_s: Time after the end of a disruption within which a VM must
            know what has changed, in seconds.
        evac_s: Time after which the endpoints of an evacuated failure domain
            must receive no requests, in seconds, or None if evacuations are not
            followed.
        cold_over: Factor by which requests to a cold endpoint may exceed its
            limit in any second.
        cold_slack: Further requests that a cold endpoint may receive in any
            second.
    """

    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    drain_s: float
    config_s: float = 2.5
    contact_s: float = 4.0
    evac_s: float | None = None
    cold_over: float = 1.0
    cold_slack: float = 0.0


class ProcessLimits(msgspec.Struct, frozen=True):
    """Limits that the process must keep.

    Attributes:
        memory_bytes: Memory at which the process is killed, or None if it is
            not stated.
        max_descriptors: Maximum number of open file descriptors, or None if it
            is not stated.
    """

    memory_bytes: int | None = None
    max_descriptors: int | None = None


class VmConfig(msgspec.Struct, frozen=True):
    """Configuration of the process on one VM.

    Attributes:
        vm_id: VM that the process runs on.
        failure_domain: Failure domain of the VM.
        regions: Region of each failure domain.
        caller_address: Address that callers connect to.
        readiness_address: Address of the readiness check for the load balancer.
        store_address: Address of the store.
        peer_address: Address for calls of other gateways.
        bounds: Limits that operators set.
        process_limits: Limits that the process must keep.
        contracts: Contracts that the deployment states.
    """

    vm_id: ids.VmId
    failure_domain: ids.FailureDomainName
    regions: dict[ids.FailureDomainName, ids.RegionName]
    caller_address: SocketAddress
    readiness_address: SocketAddress
    store_address: SocketAddress
    peer_address: SocketAddress
    bounds: PlaceBounds
    process_limits: ProcessLimits = ProcessLimits()
    contracts: frozenset[contract.Contract] = frozenset()

    def is_in_region(self, failure_domain: ids.FailureDomainName) -> bool:
        """Returns whether a failure domain is in the region of this VM."""
        own_region = self.regions.get(self.failure_domain)
        return (
            own_region is not None
            and self.regions.get(failure_domain) == own_region
        )
