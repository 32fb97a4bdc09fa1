"""Routes of generations, in the OpenAI form."""

from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import contextlib
from typing import Any

import litestar
from litestar import response

from bronzeslip.gateway import answer
from bronzeslip.gateway import answer_format
from bronzeslip.gateway import body
from bronzeslip.gateway import errors
from bronzeslip.gateway import generation_session
from bronzeslip.gateway import openai_messages as messages
from bronzeslip.gateway import request_context
from bronzeslip.gateway import state

_AUTHORIZATION = "authorization"
_EVENT_STREAM = "text/event-stream"
_REQUEST_ID_HEADER = "x-request-id"


@litestar.get("/v1/models", summary="Lists the models of the workspace")
async def list_models(
    request: litestar.Request, parts: state.GatewayState
) -> messages.ModelList:
    """Lists the models that the caller's workspace may name."""
    workspace_id = parts.access.workspace(request.headers.get(_AUTHORIZATION))
    models = parts.configuration.index.models_of(workspace_id)
    return messages.ModelList([messages.ModelEntry(name) for name in models])


@litestar.post(
    "/v1/chat/completions", status_code=200, summary="Generates a chat answer"
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
    return await _answer(parts, session, form, wanted, context)


@litestar.post(
    "/v1/completions", status_code=200, summary="Generates a completion"
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
    return await _answer(parts, session, form, wanted, context)


def _session(
    parts: state.GatewayState,
    context: request_context.RequestContext,
    model: str,
    prompt: str,
    limit: int | None,
) -> generation_session.GenerationSession:
    if limit is not None and limit <= 0:
        raise errors.BadRequestError("max_tokens must be above zero")
    if len(prompt.encode()) > context.workspace.limits.prompt_bytes:
        raise errors.TooLargeError("the prompt is too large")
    most = context.service.max_output_tokens
    wanted = generation_session.GenerationInput(
        model, prompt, min(limit or most, most)
    )
    return parts.generation(context, wanted)


async def _answer(
    parts: state.GatewayState,
    session: generation_session.GenerationSession,
    form: answer_format.AnswerFormat,
    wanted: messages.ChatRequest | messages.CompletionRequest,
    context: request_context.RequestContext,
) -> Any:
    headers = {_REQUEST_ID_HEADER: context.request_id}
    with contextlib.ExitStack() as held:
        held.enter_context(parts.enter(context))
        await session.start()
        if not wanted.stream:
            whole = await answer.whole(session, form)
            return litestar.Response(whole, headers=headers)
        options = wanted.stream_options or messages.StreamOptions()
        events = answer.events(session, form, options.include_usage)
        return response.Stream(
            _held_during(held.pop_all(), events),
            media_type=_EVENT_STREAM,
            headers={**headers, "cache-control": "no-cache"},
        )


async def _held_during(
    held: contextlib.ExitStack, events: AsyncGenerator[bytes]
) -> AsyncIterator[bytes]:
    with held:
        async with contextlib.aclosing(events):
            async for event in events:
                yield event


def _chat_prompt(chat: list[messages.ChatMessage]) -> str:
    if not chat:
        raise errors.BadRequestError("messages must not be empty")
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
    if len(prompt) != 1:
        raise errors.BadRequestError("exactly one prompt is supported")
    return prompt[0]
