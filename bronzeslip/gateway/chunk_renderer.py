"""Renders the chunks of one answer."""

import secrets

import msgspec

from bronzeslip.gateway import answer_format
from bronzeslip.gateway import openai_messages as messages

_encoder = msgspec.json.Encoder()


def event(chunk: messages.Completion) -> bytes:
    """Renders one event without an id."""
    return b"data: " + _encoder.encode(chunk) + b"\n\n"


class ChunkRenderer:
    """Renders chunks that differ in their text only.

    All but the text is rendered once.
    """

    def __init__(self, form: answer_format.AnswerFormat) -> None:
        self._form = form
        mark = secrets.token_hex()
        before, after = event(form.chunk(mark, False)).split(
            _encoder.encode(mark)
        )
        self._before = before
        self._after = after

    def render(self, text: str, event_id: str, is_first: bool) -> bytes:
        """Renders one event with text."""
        head = b"id: " + event_id.encode() + b"\n"
        if is_first or not text:
            return head + event(self._form.chunk(text, is_first))
        return head + self._before + _encoder.encode(text) + self._after
