"""Routes of generations, in the OpenAI form."""

from typing import Any

import litestar
from litestar import response

from bronzeslip.gateway import answer
from bronzeslip.gateway import answer_format
from bronzeslip.gateway import api_description
from bronzeslip.gateway import body
from bronzeslip.gateway import error_handlers
from bronzeslip.gateway import errors
from bronzeslip.gateway import generation_session
from bronzeslip.gateway import openai_messages as messages
from bronzeslip.gateway import request_context
from bronzeslip.gateway import state

_AUTHORIZATION = "authorization"
_EVENT_STREAM = "text/event-stream"


@litestar.get(
    "/v1/models",
    operation_class=api_description.DescribedOperation,
    summary="Lists the models of the workspace",
)
async def list_models(
    request: litestar.Request, parts: state.GatewayState
) -> messages.ModelList:
    """Lists the models that the caller's workspace may name."""
    workspace_id = parts.access.workspace(request.headers.get(_AUTHORIZATION))
    models = parts.configuration.index.models_of(workspace_id)
    return messages.ModelList([messages.ModelEntry(name) for name in models])


@litestar.post(
    "/v1/chat/completions",
    status_code=200,
    operation_class=api_description.ChatOperation,
    summary="Generates a chat answer",
)
async def chat_completions(
    request: litestar.Request, parts: state.GatewayState
) -> Any:
    """Generates the answer to a chat."""
    wanted = await body.decode(request, messages.ChatRequest)
    context = parts.access.context_for_model(
        request.headers.get(_AUTHORIZATION), wanted.model
    )
    form = answer_format.ChatFormat(context.request_id, wanted.model)
    limit = wanted.max_completion_tokens or wanted.max_tokens
    prompt = _chat_prompt(wanted.messages)
    session = _session(parts, context, wanted.model, prompt, limit)
    return await _answer(session, form, wanted, context)


@litestar.post(
    "/v1/completions",
    status_code=200,
    operation_class=api_description.CompletionOperation,
    summary="Generates a completion",
)
async def completions(
    request: litestar.Request, parts: state.GatewayState
) -> Any:
    """Generates the completion of a prompt."""
    wanted = await body.decode(request, messages.CompletionRequest)
    context = parts.access.context_for_model(
        request.headers.get(_AUTHORIZATION), wanted.model
    )
    form = answer_format.CompletionFormat(context.request_id, wanted.model)
    prompt = _completion_prompt(wanted.prompt)
    session = _session(parts, context, wanted.model, prompt, wanted.max_tokens)
    return await _answer(session, form, wanted, context)


def _session(
    parts: state.GatewayState,
    context: request_context.RequestContext,
    model: str,
    prompt: str,
    limit: int | None,
) -> generation_session.GenerationSession:
    with context.record.starting():
        _check_size(context, prompt)
    most = context.service.max_output_tokens
    wanted = generation_session.GenerationInput(
        model, prompt, min(limit or most, most)
    )
    return parts.generation(context, wanted)


def _check_size(context: request_context.RequestContext, prompt: str) -> None:
    if len(prompt.encode()) > context.workspace.limits.prompt_bytes:
        raise errors.TooLargeError("the prompt is too large")


async def _answer(
    session: generation_session.GenerationSession,
    form: answer_format.AnswerFormat,
    wanted: messages.ChatRequest | messages.CompletionRequest,
    context: request_context.RequestContext,
) -> Any:
    with session.record.starting():
        await session.start()
    headers = {error_handlers.REQUEST_ID_HEADER: context.request_id}
    if wanted.stream:
        options = wanted.stream_options or messages.StreamOptions()
        return response.Stream(
            answer.events(session, form, options.include_usage),
            media_type=_EVENT_STREAM,
            headers={**headers, "cache-control": "no-cache"},
        )
    return litestar.Response(await answer.whole(session, form), headers=headers)


def _chat_prompt(chat: list[messages.ChatMessage]) -> str:
    return "\n".join(
        f"<|{message.role}|>{_content_text(message)}" for message in chat
    )


def _content_text(message: messages.ChatMessage) -> str:
    if isinstance(message.content, list):
        return "".join(part.text for part in message.content)
    return message.content or ""


def _completion_prompt(prompt: str | list[str]) -> str:
    if isinstance(prompt, str):
        return prompt
    return prompt[0]
