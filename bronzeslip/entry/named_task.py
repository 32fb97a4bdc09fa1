"""Background task that runs until a daemon shuts down."""

import msgspec

from bronzeslip import background


class NamedTask(msgspec.Struct, frozen=True):
    """A task and the name under which it is logged.

    Attributes:
        name: Name of the task.
        run: Runs the task; called again after each failure.
    """

    name: str
    run: background.TaskFactory
