"""Contracts that a deployment states in its settings file."""

import enum


class Contract(enum.Enum):
    """Properties of a deployment that enable further behaviour.

    Attributes:
        PRESSURE: Load comes close to the capacity, and engines abort responses
            that stay unread.
    """

    PRESSURE = "pressure"
