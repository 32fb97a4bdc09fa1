"""Prefix cache of the engine stand-in."""

import collections

import xxhash

from bronzeslip.engine import messages


class PrefixCache:
    """LRU cache of prompt blocks that records stored and evicted blocks."""

    def __init__(self, capacity_blocks: int, block_tokens: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._block_tokens = block_tokens
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._last_event_sequence = 0
        self.events: list[messages.CacheEvent] = []

    def match_prefix(self, words: list[str]) -> int:
        """Returns the number of leading tokens of a prompt that are cached."""
        matched_tokens = 0
        for block_hash in self._block_hashes(words):
            if block_hash not in self._blocks:
                break
            self._blocks.move_to_end(block_hash)
            matched_tokens += self._block_tokens
        return matched_tokens

    def store(self, words: list[str]) -> None:
        """Caches the complete blocks of a prompt."""
        for block_hash in self._block_hashes(words):
            if block_hash not in self._blocks:
                self._emit(messages.CacheEventKind.STORED, block_hash)
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._emit(messages.CacheEventKind.EVICTED, evicted)

    def _block_hashes(self, words: list[str]) -> list[int]:
        block_tokens = self._block_tokens
        prefix_hash = xxhash.xxh64()
        hashes = []
        for end in range(block_tokens, len(words) + 1, block_tokens):
            text = " ".join(words[end - block_tokens : end]) + " "
            prefix_hash.update(text.encode())
            hashes.append(prefix_hash.intdigest())
        return hashes

    def _emit(self, kind: messages.CacheEventKind, block_hash: int) -> None:
        self._last_event_sequence += 1
        self.events.append(
            messages.CacheEvent(self._last_event_sequence, kind, block_hash)
        )
