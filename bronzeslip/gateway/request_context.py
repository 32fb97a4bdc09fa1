"""What a gateway knows of one request."""

import time

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import binding
from bronzeslip.configuration import service
from bronzeslip.configuration import workspace
from bronzeslip.gateway import request_record


class RequestContext(msgspec.Struct, frozen=True):
    """One request after access and look-ups.

    Attributes:
        request_id: Drawn by the gateway.
        workspace_id: Workspace of the caller.
        workspace: Its declaration.
        service_name: Service called.
        service: Its declaration.
        binding: Rule that names the pool.
        deadline_s: Deadline on this process's monotonic clock, in seconds.
        record: Log lines and metrics of the request.
    """

    request_id: ids.RequestId
    workspace_id: ids.WorkspaceId
    workspace: workspace.Workspace
    service_name: ids.ServiceName
    service: service.Service
    binding: binding.Binding
    deadline_s: float
    record: request_record.RequestRecord = msgspec.field(
        default_factory=request_record.null_record
    )

    def remaining_s(self) -> float:
        """Returns the time left until the deadline, in seconds."""
        return self.deadline_s - time.monotonic()
