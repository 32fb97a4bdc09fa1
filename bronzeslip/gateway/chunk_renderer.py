"""Rendering of streamed chunks as server-sent events."""

import secrets

import msgspec

from bronzeslip.gateway import openai_messages as messages
from bronzeslip.gateway import response_builder

_encoder = msgspec.json.Encoder()


def encode_event(chunk: messages.Completion) -> bytes:
    """Encodes a chunk as an event without an id."""
    return b"data: " + _encoder.encode(chunk) + b"\n\n"


class ChunkRenderer:
    """Renders chunks that differ only in their text.

    The JSON around the text is encoded once and reused for every chunk.
    """

    def __init__(self, builder: response_builder.ResponseBuilder) -> None:
        self._builder = builder
        placeholder = secrets.token_hex()
        prefix, suffix = encode_event(builder.chunk(placeholder, False)).split(
            _encoder.encode(placeholder)
        )
        self._prefix = prefix
        self._suffix = suffix

    def render(self, text: str, event_id: str, is_first: bool) -> bytes:
        """Renders a chunk of text as an event with an id.

        First and empty chunks are encoded in full, since their JSON may have
        other fields.
        """
        id_line = b"id: " + event_id.encode() + b"\n"
        if is_first or not text:
            return id_line + encode_event(self._builder.chunk(text, is_first))
        return id_line + self._prefix + _encoder.encode(text) + self._suffix
