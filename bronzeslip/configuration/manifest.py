"""The stored root of one numbered configuration."""

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import record

PREFIX = "configuration/"
MANIFEST_KEY = ids.ObjectKey(f"{PREFIX}current")
SEGMENTS_PREFIX = f"{PREFIX}segments/"

SegmentName = str


class Manifest(msgspec.Struct, frozen=True):
    """Names the segments that make up one numbered configuration.

    Attributes:
        number: Number of the configuration.
        segments: Names of the segments by bucket.
        recent_patches: Patches not yet kept in a history block.
    """

    number: ids.ConfigurationNumber
    segments: dict[str, SegmentName] = {}
    recent_patches: tuple[record.PatchEntry, ...] = ()


EMPTY = Manifest(ids.ConfigurationNumber(0))


def segment_key(name: SegmentName) -> ids.ObjectKey:
    """Returns the platform key of a segment."""
    return ids.ObjectKey(SEGMENTS_PREFIX + name)


def segment_name(
    number: ids.ConfigurationNumber, token: str, bucket: str
) -> SegmentName:
    """Names a segment written for the configuration of a number.

    Args:
        number: Number that the configuration will have.
        token: Drawn for the attempt, so that racing attempts never share.
        bucket: Bucket that the segment holds.
    """
    return f"{number}-{token}-{bucket}"


def number_from_name(name: SegmentName) -> ids.ConfigurationNumber:
    """Returns the number for which a segment was written."""
    return ids.ConfigurationNumber(int(name.split("-", 1)[0]))
