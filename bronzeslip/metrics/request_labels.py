"""Labels of a request's series."""

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import workspace
from bronzeslip.metrics import labels


class RequestLabels(msgspec.Struct, frozen=True):
    """What the series of a request are told apart by.

    Workspaces are no label: their number has no bound, their classes' has.

    Attributes:
        service_name: Service called.
        workspace_class: Class of the caller's workspace.
    """

    service_name: ids.ServiceName
    workspace_class: workspace.WorkspaceClass

    def to_dict(self, **extra: str) -> dict[str, str]:
        """Returns the labels with some more."""
        return {
            "service": labels.escape(self.service_name),
            "workspace_class": self.workspace_class.value,
            **extra,
        }
