"""Encoding and decoding of frames."""

from collections.abc import Sequence

import msgspec

from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted
from bronzeslip.transport import errors
from bronzeslip.transport.frames import call
from bronzeslip.transport.frames import generation
from bronzeslip.transport.frames import link
from bronzeslip.transport.frames import spread

Frame = (
    generation.StartGeneration
    | generation.ResumeGeneration
    | generation.CancelGeneration
    | generation.AcknowledgeTokens
    | generation.GenerationAccepted
    | generation.Tokens
    | generation.GenerationFinished
    | generation.GenerationRefused
    | generation.GenerationLost
    | call.PrepareCall
    | call.CallPrepared
    | call.StartCall
    | call.CallFinished
    | call.CallRefused
    | call.CallOutcomeUnknown
    | call.QueryCall
    | call.CallReport
    | link.Heartbeat
    | spread.FollowPrefix
    | spread.PrefixSnapshot
    | spread.PrefixDelta
    | spread.RelayHeartbeat
    | spread.StatusReport
    | spread.AskStatus
    | spread.StatusAnswer
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Frame])


def encode(batch: Sequence[Frame]) -> bytes:
    """Encodes a batch of frames.

    Raises:
        errors.UnencodableFrameError: If a value can't be encoded.
    """
    try:
        return _encoder.encode(batch)
    except (TypeError, ValueError, OverflowError, RecursionError) as error:
        raise errors.UnencodableFrameError(type(error).__name__) from error


def decode(data: bytes) -> list[Frame]:
    """Decodes a batch of frames.

    Raises:
        errors.BadFrameError: If the data is not a valid batch of frames.
    """
    try:
        return untrusted.decoded_by(_decoder.decode, data)
    except decoding_errors.UndecodableError as error:
        raise errors.BadFrameError(error.message) from error
