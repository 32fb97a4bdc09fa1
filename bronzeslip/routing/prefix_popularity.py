"""Frequency of shared prompt prefixes."""

import collections
from collections.abc import Sequence

_WINDOW_PROMPTS = 512
_MIN_SHARING_PROMPTS = 3


class PrefixPopularity:
    """Counts the prefixes in a sliding window of recent prompts."""

    def __init__(self) -> None:
        self._window: collections.deque[tuple[int, ...]] = collections.deque()
        self._counts: collections.Counter[int] = collections.Counter()

    def add(self, prefix_hashes: tuple[int, ...]) -> None:
        """Adds a prompt, given by the hashes of its prefixes, to the window."""
        self._window.append(prefix_hashes)
        self._counts.update(prefix_hashes)
        if len(self._window) > _WINDOW_PROMPTS:
            for prefix_hash in self._window.popleft():
                self._counts[prefix_hash] -= 1
                if not self._counts[prefix_hash]:
                    del self._counts[prefix_hash]

    def shared_block_count(self, prefix_hashes: Sequence[int]) -> int:
        """Returns the number of leading blocks of the longest shared prefix.

        A prefix is shared if enough prompts in the window begin with it.
        """
        for count, prefix_hash in enumerate(prefix_hashes):
            if self._counts[prefix_hash] < _MIN_SHARING_PROMPTS:
                return count
        return len(prefix_hashes)

    def prompt_fraction(self, prefix_hash: int) -> float:
        """Returns the fraction of recent prompts that begin with a prefix."""
        return self._counts[prefix_hash] / max(len(self._window), 1)
