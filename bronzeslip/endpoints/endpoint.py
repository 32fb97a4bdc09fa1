"""Endpoint that a gateway calls directly."""

import enum

import msgspec

from bronzeslip import ids


class EndpointState(enum.Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


class Endpoint(msgspec.Struct, frozen=True):
    """One incarnation of an endpoint as described by discovery.

    Attributes:
        endpoint_id: Id of the endpoint, which accepts only requests sent to
            this id.
        service_name: Name of the service that it belongs to.
        host: IP address.
        port: TCP port.
        failure_domain: Failure domain that it is located in.
        slots: Number of requests that it runs concurrently.
        state: Whether it accepts new requests.
        started_unix_ms: Start time of this incarnation by its own clock, in
            milliseconds.
        warmup_remaining_s: Remaining time for which it is slow after its
            start, in seconds.
    """

    endpoint_id: ids.EndpointId
    service_name: ids.ServiceName
    host: str
    port: int
    failure_domain: ids.FailureDomainName
    slots: int
    state: EndpointState
    started_unix_ms: int = 0
    warmup_remaining_s: float = 0.0

    @property
    def address(self) -> str:
        """Host and port, separated by a colon."""
        return f"{self.host}:{self.port}"

    @property
    def is_ready(self) -> bool:
        """Whether it accepts new requests."""
        return self.state is EndpointState.READY

    def is_same_incarnation(self, other: "Endpoint") -> bool:
        """Returns whether another description refers to the same process."""
        return (
            self.endpoint_id == other.endpoint_id
            and self.address == other.address
            and self.started_unix_ms == other.started_unix_ms
        )
