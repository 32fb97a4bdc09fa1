"""Tests of the estimated contents of an engine's cache."""

import types
import unittest

from bronzeslip.engine import messages
from bronzeslip.routing import prompt_blocks
from bronzeslip.sidecar import cache_index

_STORED = messages.CacheEventKind.STORED
_EVICTED = messages.CacheEventKind.EVICTED
_SHARED_PREFIX = "p" * 4 * prompt_blocks.BLOCK_BYTES


def _index(digest_prefixes=8):
    settings = types.SimpleNamespace(cache_digest_prefixes=digest_prefixes)
    index = cache_index.CacheIndex(settings)
    for number in range(4):
        index.add_prompt(_SHARED_PREFIX + str(number) * 600)
    return index


def _events(kind, *sequences):
    return [messages.CacheEvent(number, kind, 0) for number in sequences]


class CacheIndexTest(unittest.TestCase):
    def test_digest_contains_only_shared_prefixes(self):
        shared = prompt_blocks.prefix_hashes(_SHARED_PREFIX)[-1]
        self.assertEqual(_index().digest(), (shared,))

    def test_digest_is_bounded(self):
        self.assertEqual(_index(0).digest(), ())

    def test_evictions_drop_least_recently_used_blocks(self):
        index = _index()
        block_bytes = prompt_blocks.BLOCK_BYTES / 2
        index.apply_events(_events(_EVICTED, 1, 2, 3, 4), block_bytes)
        self.assertEqual(len(index.digest()), 1)
        index.apply_events(_events(_EVICTED, *range(5, 21)), block_bytes)
        self.assertEqual(index.digest(), ())

    def test_gap_clears_estimate_until_prompt_is_seen_again(self):
        index = _index()
        index.apply_events(_events(_STORED, 1, 2, 4), 100.0)
        self.assertEqual(index.digest(), ())
        self.assertEqual(index.last_sequence, 4)
        index.add_prompt(_SHARED_PREFIX + "z" * 600)
        self.assertEqual(len(index.digest()), 1)

    def test_repeated_events_change_nothing(self):
        index = _index()
        index.apply_events(_events(_STORED, 1, 2), 100.0)
        index.apply_events(_events(_STORED, 1, 2), 100.0)
        self.assertEqual(len(index.digest()), 1)


if __name__ == "__main__":
    unittest.main()
