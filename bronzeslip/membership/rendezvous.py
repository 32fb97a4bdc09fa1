"""Rendezvous hashing, which gives all processes the same result."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeVar

import xxhash

ItemT = TypeVar("ItemT")


def ranked(
    items: Iterable[ItemT], name_of: Callable[[ItemT], str], key: str = ""
) -> list[ItemT]:
    """Sorts items by the hash of their name and a key, highest first."""
    return sorted(
        items, key=lambda item: weight_of(name_of(item), key), reverse=True
    )


def weight_of(name: str, key: str = "") -> tuple[int, str]:
    """Returns the weight of a name for a key; ties are broken by name."""
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()), name
