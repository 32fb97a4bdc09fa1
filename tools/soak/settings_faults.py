"""Faults of the settings file of a gateway."""

from collections.abc import Iterator
import contextlib
import random

from tools import entry_gateway


@contextlib.contextmanager
def cut_boot_file(
    gateway: entry_gateway.EntryGateway, rng: random.Random
) -> Iterator[None]:
    """Cuts the boot file somewhere until the context ends."""
    content = gateway.boot_path.read_bytes()
    gateway.boot_path.write_bytes(content[: rng.randrange(len(content))])
    try:
        yield
    finally:
        gateway.boot_path.write_bytes(content)
