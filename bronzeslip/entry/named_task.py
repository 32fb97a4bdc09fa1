"""Work that runs for as long as a daemon does."""

from collections.abc import Coroutine
from typing import Any

import msgspec


class NamedTask(msgspec.Struct, frozen=True):
    """A coroutine and its name in logs."""

    name: str
    coroutine: Coroutine[Any, Any, None]
