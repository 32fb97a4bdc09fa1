"""One endpoint that a gateway calls directly."""

import enum

import msgspec

from bronzeslip import ids


class EndpointState(enum.Enum):
    """Whether an endpoint takes new requests."""

    READY = "ready"
    LEAVING = "leaving"


class Endpoint(msgspec.Struct, frozen=True):
    """An incarnation of an endpoint as discovery describes it.

    Attributes:
        endpoint_id: Id that the endpoint answers to.
        service_name: Service that it belongs to.
        host: IP number.
        port: TCP port.
        failure_domain: Failure domain that it stands in.
        slots: Requests that it runs at once.
        state: Whether it takes new requests.
        started_unix_ms: Start of this incarnation, by its own clock.
        warmup_remaining_s: Time that it stays slow after its start, in seconds.
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
        """Host and port in one text."""
        return f"{self.host}:{self.port}"

    @property
    def is_ready(self) -> bool:
        """Whether it takes new requests."""
        return self.state is EndpointState.READY

    def is_same_incarnation(self, other: "Endpoint") -> bool:
        """Tells whether another description is of the same process."""
        return (
            self.endpoint_id == other.endpoint_id
            and self.address == other.address
            and self.started_unix_ms == other.started_unix_ms
        )
