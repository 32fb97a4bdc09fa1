"""Buckets of output lengths, each wider than the one before."""

import bisect

MAX_LENGTH_TOKENS = 1 << 17
_EDGE_GROWTH_FACTOR = 2**0.5


def _edges() -> tuple[int, ...]:
    edges = [0]
    width = 1.0
    while edges[-1] < MAX_LENGTH_TOKENS:
        width *= _EDGE_GROWTH_FACTOR
        edges.append(max(edges[-1] + 1, int(width)))
    return tuple(edges)


EDGES = _edges()
COUNT = len(EDGES) - 1


def index_of(length_tokens: int) -> int:
    """Returns the bucket that a length falls in.

    Bucket i holds the lengths above EDGES[i] up to EDGES[i + 1], so that a
    sequence that has produced EDGES[i + 1] tokens and runs on has survived it.
    """
    index = bisect.bisect_left(EDGES, length_tokens) - 1
    return min(max(index, 0), COUNT - 1)
