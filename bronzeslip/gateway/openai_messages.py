"""Request and response bodies of the OpenAI-compatible API.

The docstrings of these types are published as descriptions in the OpenAPI
document.
"""

from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

TokenLimit = Annotated[int, msgspec.Meta(ge=1)]
_SINGLE_CHOICE = 1
_TEXT = "text"


class ContentPart(msgspec.Struct, frozen=True):
    """A part of a message's content; only text is supported."""

    type: Literal["text"]
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str | list[ContentPart] | None = None


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed answer."""

    include_usage: bool = False


class ResponseFormat(msgspec.Struct, frozen=True):
    """Form wanted of the answer's text."""

    type: str


# A million empty lists took 0.6 s to decode, most of it garbage collection, so
# that these are neither lists nor known to the garbage collector.
class Tool(msgspec.Struct, frozen=True, gc=False):
    """A tool or function, none of which is supported."""


class ChatRequest(msgspec.Struct, frozen=True):
    """Body of /v1/chat/completions.

    Fields that would change what the answer is and are not supported are
    refused; other unknown fields are ignored.
    """

    model: str
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    stream: bool = False
    max_tokens: TokenLimit | None = None
    max_completion_tokens: TokenLimit | None = None
    stream_options: StreamOptions | None = None
    n: int | None = None
    stop: str | list[str] | None = None
    tools: list[Tool] | None = None
    functions: list[Tool] | None = None
    logprobs: bool | None = None
    response_format: ResponseFormat | None = None
    modalities: list[str] | None = None

    def __post_init__(self) -> None:
        """Rejects unsupported values."""
        _reject_if("n", self.n not in (None, _SINGLE_CHOICE))
        for name in ("stop", "tools", "functions", "logprobs"):
            _reject_if(name, bool(getattr(self, name)))
        response_format = self.response_format
        _reject_if(
            "response_format",
            bool(response_format) and response_format.type != _TEXT,
        )
        _reject_if("modalities", (self.modalities or [_TEXT]) != [_TEXT])


class CompletionRequest(msgspec.Struct, frozen=True):
    """Body of /v1/completions.

    Fields that would change what the answer is and are not supported are
    refused; other unknown fields are ignored.
    """

    model: str
    prompt: str | Annotated[list[str], msgspec.Meta(min_length=1, max_length=1)]
    stream: bool = False
    max_tokens: TokenLimit | None = None
    stream_options: StreamOptions | None = None
    n: int | None = None
    best_of: int | None = None
    stop: str | list[str] | None = None
    echo: bool | None = None
    suffix: str | None = None
    logprobs: int | None = None

    def __post_init__(self) -> None:
        """Rejects unsupported values."""
        for name in ("n", "best_of"):
            _reject_if(name, getattr(self, name) not in (None, _SINGLE_CHOICE))
        for name in ("stop", "echo", "suffix", "logprobs"):
            _reject_if(name, bool(getattr(self, name)))


def _reject_if(name: str, condition: bool) -> None:
    if condition:
        raise ValueError(f"`{name}` with this value is not supported")


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
