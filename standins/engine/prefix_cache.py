"""Prefix cache of the engine stand-in."""

import collections

import xxhash

from bronzeslip.engine import messages


class PrefixCache:
    """Least recently used cache of prompt blocks."""

    def __init__(self, capacity_blocks: int, block_tokens: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._block_tokens = block_tokens
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self.events: list[messages.CacheEvent] = []

    def match(self, words: list[str]) -> int:
        """Returns how many leading tokens of a prompt are cached."""
        matched = 0
        for block_hash in self._hashes(words):
            if block_hash not in self._blocks:
                break
            self._blocks.move_to_end(block_hash)
            matched += self._block_tokens
        return matched

    def store(self, words: list[str]) -> None:
        """Caches the whole blocks of a prompt."""
        for block_hash in self._hashes(words):
            if block_hash not in self._blocks:
                self._emit(messages.CacheEventKind.STORED, block_hash)
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._emit(messages.CacheEventKind.EVICTED, evicted)

    def _hashes(self, words: list[str]) -> list[int]:
        size = self._block_tokens
        running = xxhash.xxh64()
        hashes = []
        for end in range(size, len(words) + 1, size):
            text = " ".join(words[end - size : end]) + " "
            running.update(text.encode())
            hashes.append(running.intdigest())
        return hashes

    def _emit(self, kind: messages.CacheEventKind, block_hash: int) -> None:
        self._sequence += 1
        self.events.append(
            messages.CacheEvent(self._sequence, kind, block_hash)
        )
