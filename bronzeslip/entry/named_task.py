"""Background task that runs until a daemon shuts down."""

from collections.abc import Coroutine
from typing import Any

import msgspec


class NamedTask(msgspec.Struct, frozen=True):
    """A coroutine and the name under which it is logged."""

    name: str
    coroutine: Coroutine[Any, Any, None]
