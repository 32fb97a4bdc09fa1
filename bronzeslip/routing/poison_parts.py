"""Finds the parts of prompts that explain crashes of endpoints."""

import collections
from collections.abc import Collection
from collections.abc import Mapping
import itertools

import msgspec

from bronzeslip import ids

PartSet = frozenset[ids.Fingerprint]

_MIN_CRASHES = 2


class PoisonParts(msgspec.Struct, frozen=True):
    """Parts that were together in the prompts of several crashes.

    Attributes:
        parts: The parts. Which of them causes the crashes is not known.
        crash_ids: Crashes that they explain.
    """

    parts: PartSet
    crash_ids: frozenset[ids.CrashId]


def find(
    crashes: Mapping[ids.CrashId, Collection[PartSet]],
) -> tuple[PoisonParts, ...]:
    """Returns sets of parts that each explain at least two crashes.

    The largest sets come first: a set explains what a subset of it explains,
    and fewer safe requests hold all of its parts. A subset, such as a preamble
    that most prompts share, is returned only if it explains two crashes that no
    larger set explains.

    Args:
        crashes: Parts, not known to be safe, of each prompt that was lost in a
            crash before its answer began.
    """
    found: list[PoisonParts] = []
    explained: set[ids.CrashId] = set()
    for parts in sorted(_common_parts(crashes), key=_by_size):
        explains = frozenset(
            crash_id
            for crash_id, part_sets in crashes.items()
            if any(parts <= part_set for part_set in part_sets)
        )
        if len(explains - explained) >= _MIN_CRASHES:
            found.append(PoisonParts(parts, explains))
            explained |= explains
    return tuple(
        poison for poison in found if not _is_coincidence(poison, found)
    )


def _common_parts(
    crashes: Mapping[ids.CrashId, Collection[PartSet]],
) -> set[PartSet]:
    """Returns what any two prompts share, of the parts of several crashes."""
    counts = collections.Counter(
        part
        for part_sets in crashes.values()
        for part in frozenset().union(*part_sets)
    )
    shared = frozenset(
        part for part, count in counts.items() if count >= _MIN_CRASHES
    )
    prompts = {
        shared & part_set
        for part_sets in crashes.values()
        for part_set in part_sets
    }
    return {
        one & other
        for one, other in itertools.combinations_with_replacement(prompts, 2)
        if one & other
    }


def _by_size(parts: PartSet) -> tuple[int, list[ids.Fingerprint]]:
    return -len(parts), sorted(parts)


def _is_coincidence(
    poison: PoisonParts, found: Collection[PoisonParts]
) -> bool:
    """Returns whether unrelated parts explain all these crashes and more."""
    return any(
        poison.crash_ids < other.crash_ids and not other.parts <= poison.parts
        for other in found
    )
