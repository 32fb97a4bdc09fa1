"""The stored manifest of a numbered configuration."""

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import record
from bronzeslip.decoding import numbers

PREFIX = "configuration/"
MANIFEST_KEY = ids.ObjectKey(f"{PREFIX}current")
SEGMENTS_PREFIX = f"{PREFIX}segments/"

SegmentName = str


class Manifest(msgspec.Struct, frozen=True):
    """Lists the segments that make up a numbered configuration.

    Attributes:
        number: Number of the configuration.
        segments: Names of the segments by bucket.
        recent_patches: Patches not yet moved to a history block.
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
    """Returns the name of a segment of a numbered configuration.

    Args:
        number: Number that the configuration will have.
        token: Random token of the write attempt; prevents concurrent attempts
            from sharing segment names.
        bucket: Bucket that the segment stores.
    """
    return f"{number}-{token}-{bucket}"


def number_from_name(name: SegmentName) -> ids.ConfigurationNumber | None:
    """Returns the configuration number that a segment was written for.

    Returns:
        The number, or None if the name is not that of a segment.
    """
    number = numbers.parse_count(name.split("-", 1)[0])
    return None if number is None else ids.ConfigurationNumber(number)
