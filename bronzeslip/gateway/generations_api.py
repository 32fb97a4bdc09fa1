"""Routes of generations, in the OpenAI form."""

import contextlib
from typing import Any

import litestar
import msgspec

from bronzeslip.gateway import answer
from bronzeslip.gateway import answer_format
from bronzeslip.gateway import api_description
from bronzeslip.gateway import body
from bronzeslip.gateway import disconnect
from bronzeslip.gateway import error_handlers
from bronzeslip.gateway import errors
from bronzeslip.gateway import event_stream
from bronzeslip.gateway import generation_input
from bronzeslip.gateway import openai_messages as messages
from bronzeslip.gateway import request_context
from bronzeslip.gateway import resume_token
from bronzeslip.gateway import state

_AUTHORIZATION = "authorization"
_LAST_EVENT_ID = "last-event-id"


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
    models = parts.configuration.index.models_for(workspace_id)
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
    limit = wanted.max_completion_tokens or wanted.max_tokens
    prompt = _chat_prompt(wanted.messages)
    return await _answer(
        request,
        parts,
        context,
        wanted,
        _input(context, wanted.model, prompt, limit),
        answer_format.ChatFormat,
    )


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
    prompt = _completion_prompt(wanted.prompt)
    return await _answer(
        request,
        parts,
        context,
        wanted,
        _input(context, wanted.model, prompt, wanted.max_tokens),
        answer_format.CompletionFormat,
    )


def _input(
    context: request_context.RequestContext,
    model: str,
    prompt: str,
    limit: int | None,
) -> generation_input.GenerationInput:
    with context.record.starting():
        _check_size(context, prompt)
    most = context.service.max_output_tokens
    return generation_input.GenerationInput(
        model, prompt, min(limit or most, most)
    )


def _check_size(context: request_context.RequestContext, prompt: str) -> None:
    if len(prompt.encode()) > context.workspace.limits.prompt_bytes:
        raise errors.TooLargeError("the prompt is too large")


async def _answer(
    request: litestar.Request,
    parts: state.GatewayState,
    context: request_context.RequestContext,
    wanted: messages.ChatRequest | messages.CompletionRequest,
    generation: generation_input.GenerationInput,
    form_type: type[answer_format.AnswerFormat],
) -> Any:
    record = context.record
    with record.starting():
        token = _resume_token(request, parts, context)
    if token is not None:
        context = msgspec.structs.replace(
            context, request_id=token.run.request_id
        )
        record.continues(token.run.request_id)
    session = parts.generation(context, generation)
    form = form_type(context.request_id, wanted.model)
    headers = {error_handlers.REQUEST_ID_HEADER: context.request_id}
    with contextlib.ExitStack() as held:
        with record.starting():
            held.enter_context(parts.enter(context))
            starting = session.resume(token) if token else session.start()
            await disconnect.run_while_connected(request.receive, starting)
        if not wanted.stream:
            collecting = answer.whole(session, form)
            whole = await disconnect.run_while_connected(
                request.receive, collecting
            )
            return litestar.Response(whole, headers=headers)
        held.callback(session.close)
        options = wanted.stream_options or messages.StreamOptions()
        return event_stream.EventStream(
            answer.events(session, form, options.include_usage),
            held.pop_all().close,
            headers,
        )


def _resume_token(
    request: litestar.Request,
    parts: state.GatewayState,
    context: request_context.RequestContext,
) -> resume_token.ResumeToken | None:
    text = request.headers.get(_LAST_EVENT_ID)
    if not text:
        return None
    return parts.resume_tokens.verify(context.workspace_id, text)


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
