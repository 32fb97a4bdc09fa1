"""Errors of the memory budget."""

from bronzeslip import errors


class MemoryShortError(errors.BronzeslipError):
    """A reservation does not fit into the budget."""

    code = "memory-short"
