"""Partitioning of a configuration document into segments by hash bucket."""

from collections.abc import Iterable

import msgspec
import xxhash

from bronzeslip.configuration import document

BUCKET_COUNT = 128

Bucket = str


def split(source: document.Document) -> dict[Bucket, document.Document]:
    """Partitions a document by the hash of each declaration's kind and name.

    Returns:
        The segments by bucket; buckets without declarations are left out.
    """
    declarations_by_kind = msgspec.structs.asdict(source)
    segments: dict[Bucket, dict[str, dict]] = {}
    for kind, declarations in declarations_by_kind.items():
        for name, value in declarations.items():
            segment = segments.setdefault(bucket_for(kind, name), {})
            segment.setdefault(kind, {})[name] = value
    return {
        bucket: document.Document(**segment)
        for bucket, segment in segments.items()
    }


def join(segments: Iterable[document.Document]) -> document.Document:
    """Merges the segments of a configuration into one document."""
    joined: dict[str, dict] = {kind: {} for kind in document.KINDS}
    for segment in segments:
        for kind, declarations in joined.items():
            declarations.update(getattr(segment, kind))
    return document.Document(**joined)


def bucket_for(kind: str, name: str) -> Bucket:
    """Returns the bucket to which the hash of a declaration's key maps."""
    return str(xxhash.xxh32_intdigest(f"{kind}/{name}".encode()) % BUCKET_COUNT)
