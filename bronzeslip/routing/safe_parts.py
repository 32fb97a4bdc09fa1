"""Memory of prompt parts that endpoints have answered."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

from bronzeslip import ids

_MAX_PARTS = 20_000


class SafeParts:
    """Parts of prompts whose answers were begun without a crash."""

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        """Creates an empty memory.

        Args:
            wall_clock: Wall clock, in seconds.
        """
        self._wall_clock = wall_clock
        self._proven_unix_s: collections.OrderedDict[ids.Fingerprint, int] = (
            collections.OrderedDict()
        )

    def add(self, parts: Iterable[ids.Fingerprint]) -> None:
        """Adds parts and forgets those that were proven longest ago."""
        now_unix_s = int(self._wall_clock())
        for part in parts:
            self._proven_unix_s[part] = now_unix_s
            self._proven_unix_s.move_to_end(part)
        while len(self._proven_unix_s) > _MAX_PARTS:
            self._proven_unix_s.popitem(last=False)

    def proven_unix_s(self, part: ids.Fingerprint) -> int | None:
        """Returns when a part was last proven safe, or None."""
        return self._proven_unix_s.get(part)
