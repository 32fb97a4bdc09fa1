"""Hashes of prompt prefixes."""

import xxhash

BLOCK_BYTES = 512
_MAX_BLOCKS = 64
_HASH_MASK = 0xFFFFFFFF


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Returns a 32-bit hash of each block-aligned prefix of a prompt."""
    data = prompt.encode()[: BLOCK_BYTES * _MAX_BLOCKS]
    running = xxhash.xxh64()
    hashes = []
    for end in range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES):
        running.update(data[end - BLOCK_BYTES : end])
        hashes.append(running.intdigest() & _HASH_MASK)
    return tuple(hashes)
