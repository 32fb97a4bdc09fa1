"""Builders of chat and text completion responses."""

import abc
import time

from bronzeslip import ids
from bronzeslip.gateway import openai_messages as messages


class ResponseBuilder(abc.ABC):
    """Builds the response or the chunks for one request."""

    chunk_object = ""
    completion_object = ""

    def __init__(self, request_id: ids.RequestId, model: str) -> None:
        self._id = f"{self.id_prefix}-{request_id}"
        self._model = model
        self._created_unix_s = int(time.time())

    @property
    @abc.abstractmethod
    def id_prefix(self) -> str:
        """Prefix of the response id."""

    @abc.abstractmethod
    def _chunk_choice(
        self, text: str, finish_reason: str | None, first: bool
    ) -> messages.Choice:
        """Builds the choice of a chunk."""

    @abc.abstractmethod
    def _completion_choice(
        self, text: str, finish_reason: str
    ) -> messages.Choice:
        """Builds the choice of a non-streamed response."""

    def chunk(self, text: str, first: bool) -> messages.Completion:
        """Builds a chunk that carries text."""
        return self._create(
            self.chunk_object, [self._chunk_choice(text, None, first)]
        )

    def last_chunk(self, finish_reason: str) -> messages.Completion:
        """Builds the chunk that carries the finish reason."""
        return self._create(
            self.chunk_object, [self._chunk_choice("", finish_reason, False)]
        )

    def usage_chunk(self, usage: messages.Usage) -> messages.Completion:
        """Builds the chunk that carries the token usage."""
        return self._create(self.chunk_object, [], usage)

    def completion(
        self, text: str, finish_reason: str, usage: messages.Usage
    ) -> messages.Completion:
        """Builds a non-streamed response."""
        return self._create(
            self.completion_object,
            [self._completion_choice(text, finish_reason)],
            usage,
        )

    def _create(
        self,
        object_name: str,
        choices: list[messages.Choice],
        usage: messages.Usage | None = None,
    ) -> messages.Completion:
        return messages.Completion(
            self._id,
            object_name,
            self._created_unix_s,
            self._model,
            choices,
            usage,
        )


class ChatResponseBuilder(ResponseBuilder):
    """Builds responses of /v1/chat/completions."""

    chunk_object = "chat.completion.chunk"
    completion_object = "chat.completion"
    id_prefix = "chatcmpl"

    def _chunk_choice(
        self, text: str, finish_reason: str | None, first: bool
    ) -> messages.Choice:
        delta = {"content": text} if text else {}
        if first:
            delta["role"] = "assistant"
        return messages.Choice(0, finish_reason, delta=delta)

    def _completion_choice(
        self, text: str, finish_reason: str
    ) -> messages.Choice:
        message = {"role": "assistant", "content": text}
        return messages.Choice(0, finish_reason, message=message)


class CompletionResponseBuilder(ResponseBuilder):
    """Builds responses of /v1/completions."""

    chunk_object = "text_completion"
    completion_object = "text_completion"
    id_prefix = "cmpl"

    def _chunk_choice(
        self, text: str, finish_reason: str | None, first: bool
    ) -> messages.Choice:
        return messages.Choice(0, finish_reason, text=text)

    def _completion_choice(
        self, text: str, finish_reason: str
    ) -> messages.Choice:
        return messages.Choice(0, finish_reason, text=text)
