"""Contracts in the platform's settings file."""

from typing import Any

from bronzeslip.entry import contract

_BY_NAME = {"pressure": contract.Contract.PRESSURE}


def decode(names: Any) -> frozenset[contract.Contract]:
    """Decodes a list of contracts; ignores those that are not known."""
    if not isinstance(names, list):
        return frozenset()
    return frozenset(
        _BY_NAME[name]
        for name in names
        if isinstance(name, str) and name in _BY_NAME
    )
