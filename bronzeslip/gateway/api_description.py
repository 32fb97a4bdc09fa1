"""OpenAPI description of the routes.

Handlers decode request bodies themselves so that errors are returned as the
gateway's problem documents. Litestar therefore does not know the body types,
and their schemas are added here from the message types.
"""

import dataclasses
from typing import Any

from litestar import openapi
from litestar.openapi import plugins
from litestar.openapi import spec
import msgspec

from bronzeslip.configuration import store
from bronzeslip.gateway import openai_messages as messages
from bronzeslip.http import problem

_TITLE = "bronzeslip"
_VERSION = "0.1.0"
_REFERENCE = "#/components/schemas/{name}"
_SECURITY_SCHEME = "credential"
_JSON = "application/json"
_EVENT_STREAM = "text/event-stream"
_BINARY = "application/octet-stream"
_MESSAGE_TYPES = (
    messages.ChatRequest,
    messages.CompletionRequest,
    messages.Completion,
    store.PatchRequest,
    problem.Problem,
)


@dataclasses.dataclass
class ComponentsWithMessages(spec.Components):
    """Components with schemas of the types that handlers decode themselves."""

    def to_schema(self) -> dict[str, Any]:
        """Returns the components as a dictionary."""
        components = super().to_schema()
        _, schemas = msgspec.json.schema_components(
            _MESSAGE_TYPES, ref_template=_REFERENCE
        )
        components["schemas"].update(schemas)
        return components


@dataclasses.dataclass
class AuthenticatedOperation(spec.Operation):
    """Operation that requires a credential and may return a problem."""

    def __post_init__(self) -> None:
        """Adds the credential and the problem response."""
        self.security = [{_SECURITY_SCHEME: []}]
        self.responses = {
            **(self.responses or {}),
            "default": spec.OpenAPIResponse(
                "Why the request was not served",
                content={
                    problem.MEDIA_TYPE: _schema_media_type(problem.Problem)
                },
            ),
        }

    def _set_request_body(
        self, media_type: str, schema: spec.OpenAPIMediaType
    ) -> None:
        self.request_body = spec.RequestBody(
            content={media_type: schema}, required=True
        )


@dataclasses.dataclass
class ChatOperation(AuthenticatedOperation):
    """Operation of the chat completions route."""

    def __post_init__(self) -> None:
        """Adds the request body and the response."""
        super().__post_init__()
        self._set_request_body(_JSON, _schema_media_type(messages.ChatRequest))
        self.responses["200"] = _completion_response()


@dataclasses.dataclass
class CompletionOperation(AuthenticatedOperation):
    """Operation of the completions route."""

    def __post_init__(self) -> None:
        """Adds the request body and the response."""
        super().__post_init__()
        self._set_request_body(
            _JSON, _schema_media_type(messages.CompletionRequest)
        )
        self.responses["200"] = _completion_response()


@dataclasses.dataclass
class PatchOperation(AuthenticatedOperation):
    """Operation of the configuration patches route."""

    def __post_init__(self) -> None:
        """Adds the request body."""
        super().__post_init__()
        self._set_request_body(_JSON, _schema_media_type(store.PatchRequest))


@dataclasses.dataclass
class CallOperation(AuthenticatedOperation):
    """Operation of plain services, whose bodies are not interpreted."""

    def __post_init__(self) -> None:
        """Adds the request body and the response."""
        super().__post_init__()
        binary = spec.OpenAPIMediaType(
            schema=spec.Schema(
                type=spec.OpenAPIType.STRING,
                format=spec.OpenAPIFormat.BINARY,
            )
        )
        self.request_body = spec.RequestBody(content={_BINARY: binary})
        self.responses = {
            "2XX": spec.OpenAPIResponse(
                "Answer of the endpoint", content={_BINARY: binary}
            ),
            "default": self.responses["default"],
        }


def create_config() -> openapi.OpenAPIConfig:
    """Creates the OpenAPI configuration of the application."""
    return openapi.OpenAPIConfig(
        title=_TITLE,
        version=_VERSION,
        components=ComponentsWithMessages(
            security_schemes={
                _SECURITY_SCHEME: spec.SecurityScheme(
                    type="http", scheme="bearer"
                )
            },
        ),
        render_plugins=[
            plugins.JsonRenderPlugin(path=["/", "/openapi.json"]),
            plugins.YamlRenderPlugin(),
        ],
    )


def _schema_media_type(message_type: type) -> spec.OpenAPIMediaType:
    reference = _REFERENCE.format(name=message_type.__name__)
    return spec.OpenAPIMediaType(schema=spec.Reference(ref=reference))


def _completion_response() -> spec.OpenAPIResponse:
    return spec.OpenAPIResponse(
        "The answer, or its chunks if it is streamed",
        content={
            _JSON: _schema_media_type(messages.Completion),
            _EVENT_STREAM: _schema_media_type(messages.Completion),
        },
    )
