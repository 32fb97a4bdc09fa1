"""Isolation of unexpected exceptions."""

from collections.abc import Iterator
import contextlib
from typing import Any

from bronzeslip import logs


@contextlib.contextmanager
def isolated(
    logger: logs.EventLogger, event: str, **fields: Any
) -> Iterator[None]:
    """Logs an exception that the block raises and goes on after the block.

    For work on one of several independent items, such as one record of a
    listing, where an unexpected exception must not keep the others from being
    handled.

    Args:
        logger: Logger of the event.
        event: Name of the event.
        fields: Further fields of the event.
    """
    try:
        yield
    except Exception as error:
        logger.error(event, **fields, reason=logs.describe(error))
