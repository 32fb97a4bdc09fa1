"""Estimated contents of an engine's prefix cache."""

from collections.abc import Sequence

from bronzeslip.engine import messages
from bronzeslip.routing import prefix_index
from bronzeslip.routing import prefix_popularity
from bronzeslip.routing import prompt_blocks
from bronzeslip.settings import sidecar

_MAX_BLOCKS = 65_536


class CacheIndex:
    """Prompt blocks sent to the engine, corrected by its cache events.

    The engine's own hashes cannot be computed here, so an eviction is assumed
    to remove the least recently used block. A gap in the events may hide any
    number of evictions and clears the estimate.
    """

    def __init__(self, settings: sidecar.SidecarSettings) -> None:
        self._settings = settings
        self._blocks = prefix_index.PrefixIndex(_MAX_BLOCKS)
        self._popularity = prefix_popularity.PrefixPopularity()
        self._recent_prefixes: dict[int, int] = {}
        self._sequence = 0
        self._pending_evicted_blocks = 0.0

    @property
    def last_sequence(self) -> int:
        """Sequence number of the latest event applied."""
        return self._sequence

    def add_prompt(self, prompt: str) -> None:
        """Records that the engine processes a prompt."""
        hashes = prompt_blocks.prefix_hashes(prompt)
        self._blocks.add(hashes)
        self._popularity.add(hashes)
        shared_count = self._popularity.shared_block_count(hashes)
        if shared_count:
            self._recent_prefixes.pop(hashes[shared_count - 1], None)
            self._recent_prefixes[hashes[shared_count - 1]] = shared_count
        while len(self._recent_prefixes) > self._settings.cache_digest_prefixes:
            del self._recent_prefixes[next(iter(self._recent_prefixes))]

    def apply_events(
        self, events: Sequence[messages.CacheEvent], block_bytes: float
    ) -> None:
        """Applies cache events.

        Args:
            events: Events in ascending order of sequence number.
            block_bytes: Bytes of prompt in one of the engine's blocks.
        """
        for event in events:
            if event.sequence <= self._sequence:
                continue
            if event.sequence != self._sequence + 1:
                self._blocks.clear()
            self._sequence = event.sequence
            if event.kind is messages.CacheEventKind.EVICTED:
                self._pending_evicted_blocks += (
                    block_bytes / prompt_blocks.BLOCK_BYTES
                )
        evicted_blocks = int(self._pending_evicted_blocks)
        self._pending_evicted_blocks -= evicted_blocks
        self._blocks.evict_oldest(evicted_blocks)

    def digest(self) -> tuple[int, ...]:
        """Returns the hashes of the shared prefixes assumed to be cached."""
        return tuple(
            prefix for prefix in self._recent_prefixes if prefix in self._blocks
        )
