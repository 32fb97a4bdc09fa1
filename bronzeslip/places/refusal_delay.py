"""Retry times of requests that no endpoint may receive because of its place."""

import random

# An evacuation or a configuration that leaves no endpoint usually lasts for
# seconds, so callers are asked to wait longer than for a busy endpoint. The
# spread keeps those refused together from returning together.
_MIN_S = 0.5
_MAX_S = 2.0


def draw_s(rng: random.Random) -> float:
    """Returns a random time after which to retry, in seconds."""
    return rng.uniform(_MIN_S, _MAX_S)
