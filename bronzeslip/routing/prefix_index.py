"""Index of prompt blocks that are expected to be cached."""

import collections
from collections.abc import Sequence

_DEFAULT_CAPACITY_BLOCKS = 4096


class PrefixIndex:
    """Least-recently-used index of the prompt blocks of one endpoint."""

    def __init__(self, capacity_blocks: int = _DEFAULT_CAPACITY_BLOCKS) -> None:
        self.capacity_blocks = capacity_blocks
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._blocks)

    def __contains__(self, block_hash: int) -> bool:
        return block_hash in self._blocks

    def count_cached(self, hashes: Sequence[int]) -> int:
        """Returns the number of leading blocks expected to be cached."""
        for count, block_hash in enumerate(hashes):
            if block_hash not in self._blocks:
                return count
        return len(hashes)

    def add(self, hashes: Sequence[int]) -> None:
        """Records the blocks of a prompt sent to the endpoint."""
        for block_hash in reversed(hashes):
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        self.evict_oldest(len(self._blocks) - self.capacity_blocks)

    def evict_oldest(self, count: int) -> None:
        """Evicts the least recently used blocks."""
        for _ in range(min(count, len(self._blocks))):
            self._blocks.popitem(last=False)

    def clear(self) -> None:
        """Removes all blocks."""
        self._blocks.clear()
