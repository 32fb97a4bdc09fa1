"""Variants of requests: region, prompt and speed of the reader."""

import random

import msgspec

from tools import entry_configuration
from tools.soak import request_kind

_SLOW_READER_SHARE = 0.1
_PROMPT_SHARE = 0.5
_REGIONAL_SHARE = 0.4
_REGIONS = tuple(entry_configuration.REGIONAL_PATH_BY_REGION)


class RequestVariant(msgspec.Struct, frozen=True):
    """What distinguishes a request from others of its kind.

    Attributes:
        allowed_region: Region that the route allows, empty for any.
        reads_slowly: Whether it asks for large events and reads them slowly.
        has_prompt: Whether it states its prompt.
    """

    allowed_region: str = ""
    reads_slowly: bool = False
    has_prompt: bool = False


def select(
    kind: request_kind.RequestKind, rng: random.Random
) -> RequestVariant:
    """Selects the variant of a request."""
    if kind is request_kind.RequestKind.CALL:
        is_regional = rng.random() < _REGIONAL_SHARE
        return RequestVariant(rng.choice(_REGIONS) if is_regional else "")
    if kind is request_kind.RequestKind.STREAM:
        return RequestVariant(
            reads_slowly=rng.random() < _SLOW_READER_SHARE,
            has_prompt=rng.random() < _PROMPT_SHARE,
        )
    return RequestVariant()
