"""Partitioning of a document into segments."""

from collections.abc import Iterable

import msgspec
import xxhash

from bronzeslip.configuration import document

BUCKET_COUNT = 128

Bucket = str


def split(source: document.Document) -> dict[Bucket, document.Document]:
    """Partitions a document by the hash of each declaration's kind and name."""
    kinds = msgspec.structs.asdict(source)
    buckets: dict[Bucket, dict[str, dict]] = {}
    for kind, declared in kinds.items():
        for name, value in declared.items():
            bucket = buckets.setdefault(bucket_for(kind, name), {})
            bucket.setdefault(kind, {})[name] = value
    return {
        bucket: document.Document(**declarations)
        for bucket, declarations in buckets.items()
    }


def join(parts: Iterable[document.Document]) -> document.Document:
    """Merges segments into one document."""
    joined: dict[str, dict] = {kind: {} for kind in document.KINDS}
    for part in parts:
        for kind, declared in joined.items():
            declared.update(getattr(part, kind))
    return document.Document(**joined)


def bucket_for(kind: str, name: str) -> Bucket:
    """Returns the bucket of a declaration."""
    return str(xxhash.xxh32_intdigest(f"{kind}/{name}".encode()) % BUCKET_COUNT)
