"""Last check before a request is sent to an endpoint."""

from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import endpoint_errors


def raise_if_evacuated(
    endpoints: directory.EndpointDirectory, target: endpoint.Endpoint
) -> None:
    """Raises an error if an endpoint was evacuated since it was chosen.

    Raises:
        endpoint_errors.EndpointEvacuatedError: If it was.
    """
    if endpoints.is_evacuated(target):
        raise endpoint_errors.EndpointEvacuatedError(
            f"failure domain {target.failure_domain} is evacuated"
        )
