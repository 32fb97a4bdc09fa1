"""Second response to a request."""

import random

import msgspec

from standins.stuttering import repetition_content
from standins.stuttering import repetition_time
from standins.stuttering import response_kind
from standins.stuttering import sent_response
from standins.stuttering import wire_format

_Kind = response_kind.ResponseKind
_KINDS_BY_STATUS = {
    kind.status: kind
    for kind in (_Kind.SUCCESS, _Kind.FAILURE, _Kind.NOT_FOUND, _Kind.REFUSAL)
}
_BROKEN_HEAD_SHARE = 0.8


class Repetition(msgspec.Struct, frozen=True):
    """What a second response contains and when it is sent.

    Attributes:
        content: Difference from the first response.
        time: When it is sent.
        is_broken_off: Whether it ends inside its head or body, while the
            connection goes on.
    """

    content: repetition_content.RepetitionContent
    time: repetition_time.RepetitionTime
    is_broken_off: bool


def encode(
    repetition: Repetition,
    response: sent_response.SentResponse,
    kind: response_kind.ResponseKind,
    rng: random.Random,
) -> bytes:
    """Returns the bytes of a second response.

    Args:
        repetition: What it contains.
        response: First response.
        kind: Kind of the first response.
        rng: Source of random numbers.
    """
    if repetition.content is repetition_content.RepetitionContent.UNNAMED:
        kind = _Kind.UNNAMED
    elif (
        repetition.content is repetition_content.RepetitionContent.OTHER_STATUS
    ):
        kind = rng.choice(
            [
                other_kind
                for status, other_kind in _KINDS_BY_STATUS.items()
                if status != response.status
            ]
        )
        response = msgspec.structs.replace(
            response, status=kind.status, has_run=kind.has_run
        )
    encoded = wire_format.encode(response, kind, rng)
    if not repetition.is_broken_off:
        return encoded
    head_bytes = encoded.index(wire_format.HEAD_END) + len(wire_format.HEAD_END)
    if rng.random() < _BROKEN_HEAD_SHARE:
        return encoded[: rng.randrange(1, head_bytes)]
    return encoded[: rng.randrange(head_bytes, len(encoded))]
