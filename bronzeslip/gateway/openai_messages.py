"""Requests and answers in the OpenAI form."""

from typing import Any

import msgspec


class ContentPart(msgspec.Struct, frozen=True):
    """A part of a message's content."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str | list[ContentPart] | None = None


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed answer."""

    include_usage: bool = False


class ChatRequest(msgspec.Struct, frozen=True):
    """Body of /v1/chat/completions; unknown fields are ignored."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream_options: StreamOptions | None = None


class CompletionRequest(msgspec.Struct, frozen=True):
    """Body of /v1/completions; unknown fields are ignored."""

    model: str
    prompt: str | list[str]
    stream: bool = False
    max_tokens: int | None = None
    stream_options: StreamOptions | None = None


class Usage(msgspec.Struct, frozen=True):
    """Tokens of a request and its answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Choice(msgspec.Struct, frozen=True, omit_defaults=True):
    """One choice of an answer or of a chunk of it."""

    index: int
    finish_reason: str | None
    message: dict[str, Any] | msgspec.UnsetType = msgspec.UNSET
    delta: dict[str, Any] | msgspec.UnsetType = msgspec.UNSET
    text: str | msgspec.UnsetType = msgspec.UNSET
    logprobs: None = None


class Completion(msgspec.Struct, frozen=True):
    """An answer or a chunk of it."""

    id: str
    object: str
    created: int
    model: str
    choices: list[Choice]
    usage: Usage | msgspec.UnsetType | None = msgspec.UNSET


class ModelEntry(msgspec.Struct, frozen=True):
    """One model in the list of models."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "bronzeslip"


class ModelList(msgspec.Struct, frozen=True):
    """Answer of /v1/models."""

    data: list[ModelEntry]
    object: str = "list"
