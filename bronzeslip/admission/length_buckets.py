"""Buckets of output lengths in tokens, with exponentially growing edges."""

import bisect

MAX_LENGTH_TOKENS = 1 << 17
_EDGE_GROWTH_FACTOR = 2**0.5


def _edges() -> tuple[int, ...]:
    edges = [0]
    edge = 1.0
    while edges[-1] < MAX_LENGTH_TOKENS:
        edge *= _EDGE_GROWTH_FACTOR
        edges.append(max(edges[-1] + 1, int(edge)))
    return tuple(edges)


EDGES = _edges()
COUNT = len(EDGES) - 1


def index_of(length_tokens: int) -> int:
    """Returns the index of the bucket that contains a length.

    Bucket i covers the lengths above EDGES[i] up to and including
    EDGES[i + 1], so a sequence that has generated EDGES[i + 1] tokens and
    continues has survived bucket i. The last bucket also contains all longer
    lengths.
    """
    index = bisect.bisect_left(EDGES, length_tokens) - 1
    return min(max(index, 0), COUNT - 1)
