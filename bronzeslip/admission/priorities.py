"""Scheduling priorities of generations at the engine."""

from bronzeslip.configuration import workspace

_PRIORITIES = {
    workspace.WorkspaceClass.DRAFT: 2,
    workspace.WorkspaceClass.INTERACTIVE: 1,
    workspace.WorkspaceClass.BATCH: 0,
}


def priority_of(workspace_class: workspace.WorkspaceClass) -> int:
    """Returns the engine priority of a workspace class.

    The engine preempts sequences with the lowest priority first. A preempted
    draft has the most tokens to recompute and occupies memory the longest,
    whereas a short request recovers quickly.
    """
    return _PRIORITIES[workspace_class]
