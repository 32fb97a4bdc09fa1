"""Labels of the metrics of a request."""

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import workspace
from bronzeslip.metrics import labels


class RequestLabels(msgspec.Struct, frozen=True):
    """Labels that identify the series of a request.

    The workspace class is a label because its values are bounded; the
    workspace is not, because the number of workspaces is unbounded.

    Attributes:
        service_name: Service called.
        workspace_class: Class of the caller's workspace.
    """

    service_name: ids.ServiceName
    workspace_class: workspace.WorkspaceClass

    def to_dict(self, **extra: str) -> dict[str, str]:
        """Returns the labels together with extra ones."""
        return {
            "service": labels.escape(self.service_name),
            "workspace_class": self.workspace_class.value,
            **extra,
        }
