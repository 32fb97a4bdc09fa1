"""Tests of bronzeslip.process_memory."""

import concurrent.futures
import multiprocessing
import unittest

from bronzeslip import process_memory

_BLOCK_BYTES = 4 * 1024 * 1024
_BLOCK_COUNT = 16
_PIN_BYTES = 2000
_MAX_KEPT_BYTES = 2 * _BLOCK_BYTES


def _allocate(size_bytes):
    return bytearray(b"x") * size_bytes


def _measure():
    """Returns the bytes that are held, and kept after they were freed."""
    process_memory.release_large_blocks()
    first = _allocate(2 * _BLOCK_BYTES)
    del first
    before_bytes = process_memory.resident_bytes()
    pins = []
    blocks = []
    for _ in range(_BLOCK_COUNT):
        blocks.append(_allocate(_BLOCK_BYTES))
        pins.append([_allocate(_PIN_BYTES) for _ in range(10)])
    held_bytes = process_memory.resident_bytes() - before_bytes
    blocks.clear()
    return held_bytes, process_memory.resident_bytes() - before_bytes


class ProcessMemoryTest(unittest.TestCase):
    # Guards against a process that is killed by freed bodies, which the
    # allocator keeps between smaller blocks.
    def test_freed_bodies_are_returned_to_the_system(self):
        # In the process of the tests earlier ones have left free blocks.
        with concurrent.futures.ProcessPoolExecutor(
            1, multiprocessing.get_context("spawn")
        ) as executor:
            held_bytes, kept_bytes = executor.submit(_measure).result()
        self.assertGreater(held_bytes, (_BLOCK_COUNT - 1) * _BLOCK_BYTES)
        self.assertLess(kept_bytes, _MAX_KEPT_BYTES)

    def test_unused_memory_can_be_released(self):
        process_memory.release_unused()
        self.assertGreater(process_memory.resident_bytes(), 0)
