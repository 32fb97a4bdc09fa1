"""What the sidecar believes its engine's prefix cache to hold."""

from collections.abc import Sequence

from bronzeslip.engine import messages
from bronzeslip.routing import prefix_index
from bronzeslip.routing import prefix_popularity
from bronzeslip.routing import prompt_blocks
from bronzeslip.settings import sidecar

_MAX_BLOCKS = 65_536


class CacheIndex:
    """Prompt blocks sent to the engine, corrected by its cache events.

    The engine's own hashes can't be computed here, so an eviction stands
    for the block used longest ago. A gap in the events may hide any number
    of evictions and clears the belief.
    """

    def __init__(self, settings: sidecar.SidecarSettings) -> None:
        self._settings = settings
        self._blocks = prefix_index.PrefixIndex(_MAX_BLOCKS)
        self._popularity = prefix_popularity.PrefixPopularity()
        self._recent: dict[int, int] = {}
        self._sequence = 0
        self._owed_blocks = 0.0

    @property
    def last_sequence(self) -> int:
        """Number of the latest event taken in."""
        return self._sequence

    def add_prompt(self, prompt: str) -> None:
        """Notes that the engine computes a prompt."""
        hashes = prompt_blocks.prefix_hashes(prompt)
        self._blocks.add(hashes)
        self._popularity.add(hashes)
        shared = self._popularity.shared_blocks(hashes)
        if shared:
            self._recent.pop(hashes[shared - 1], None)
            self._recent[hashes[shared - 1]] = shared
        while len(self._recent) > self._settings.cache_digest_prefixes:
            del self._recent[next(iter(self._recent))]

    def take_events(
        self, events: Sequence[messages.CacheEvent], block_bytes: float
    ) -> None:
        """Takes cache events in.

        Args:
            events: Events by sequence, the oldest first.
            block_bytes: Bytes of prompt in one of the engine's blocks.
        """
        for event in events:
            if event.sequence <= self._sequence:
                continue
            if event.sequence != self._sequence + 1:
                self._blocks.clear()
            self._sequence = event.sequence
            if event.kind is messages.CacheEventKind.EVICTED:
                self._owed_blocks += block_bytes / prompt_blocks.BLOCK_BYTES
        whole = int(self._owed_blocks)
        self._owed_blocks -= whole
        self._blocks.evict_oldest(whole)

    def digest(self) -> tuple[int, ...]:
        """Returns the hashes of the shared prefixes that are cached."""
        return tuple(
            prefix for prefix in self._recent if prefix in self._blocks
        )
