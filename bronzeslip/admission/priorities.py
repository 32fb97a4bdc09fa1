"""Priorities of generations at the engine."""

from bronzeslip.configuration import workspace

_PRIORITIES = {
    workspace.WorkspaceClass.DRAFT: 2,
    workspace.WorkspaceClass.INTERACTIVE: 1,
    workspace.WorkspaceClass.BATCH: 0,
}


def priority_of(workspace_class: workspace.WorkspaceClass) -> int:
    """Returns the priority of a class.

    The engine preempts the lowest first. A draft has most to compute anew
    and its memory stays taken longest; a short request is soon back.
    """
    return _PRIORITIES[workspace_class]
