"""Routes of the OpenAI-compatible generation API."""

import contextlib
from typing import Any

import litestar
import msgspec

from bronzeslip.gateway import api_description
from bronzeslip.gateway import disconnect
from bronzeslip.gateway import error_handlers
from bronzeslip.gateway import errors
from bronzeslip.gateway import event_stream
from bronzeslip.gateway import generation_input
from bronzeslip.gateway import generation_response
from bronzeslip.gateway import openai_messages as messages
from bronzeslip.gateway import request_body
from bronzeslip.gateway import request_context
from bronzeslip.gateway import response_builder
from bronzeslip.gateway import resume_token
from bronzeslip.gateway import state

_AUTHORIZATION = "authorization"
_LAST_EVENT_ID = "last-event-id"


@litestar.get(
    "/v1/models",
    operation_class=api_description.AuthenticatedOperation,
    summary="Lists the models of the workspace",
)
async def list_models(
    request: litestar.Request, gateway_state: state.GatewayState
) -> messages.ModelList:
    """Lists the models available to the caller's workspace."""
    workspace_id = gateway_state.access_control.authenticate_workspace(
        request.headers.get(_AUTHORIZATION)
    )
    models = gateway_state.configuration.index.models_of(workspace_id)
    return messages.ModelList([messages.ModelEntry(name) for name in models])


@litestar.post(
    "/v1/chat/completions",
    status_code=200,
    operation_class=api_description.ChatOperation,
    summary="Generates a chat answer",
)
async def chat_completions(
    request: litestar.Request, gateway_state: state.GatewayState
) -> Any:
    """Generates a chat completion."""
    payload = await request_body.decode(request, messages.ChatRequest)
    context = gateway_state.access_control.context_for_model(
        request.headers.get(_AUTHORIZATION), payload.model
    )
    limit = payload.max_completion_tokens or payload.max_tokens
    prompt = _chat_prompt(payload.messages)
    return await _generate(
        request,
        gateway_state,
        context,
        payload,
        _create_input(context, payload.model, prompt, limit),
        response_builder.ChatResponseBuilder,
    )


@litestar.post(
    "/v1/completions",
    status_code=200,
    operation_class=api_description.CompletionOperation,
    summary="Generates a completion",
)
async def completions(
    request: litestar.Request, gateway_state: state.GatewayState
) -> Any:
    """Generates a text completion."""
    payload = await request_body.decode(request, messages.CompletionRequest)
    context = gateway_state.access_control.context_for_model(
        request.headers.get(_AUTHORIZATION), payload.model
    )
    prompt = _completion_prompt(payload.prompt)
    return await _generate(
        request,
        gateway_state,
        context,
        payload,
        _create_input(context, payload.model, prompt, payload.max_tokens),
        response_builder.CompletionResponseBuilder,
    )


def _create_input(
    context: request_context.RequestContext,
    model: str,
    prompt: str,
    limit: int | None,
) -> generation_input.GenerationInput:
    with context.record.track_failures():
        _check_prompt_size(context, prompt)
    max_output_tokens = context.service.max_output_tokens
    return generation_input.GenerationInput(
        model, prompt, min(limit or max_output_tokens, max_output_tokens)
    )


def _check_prompt_size(
    context: request_context.RequestContext, prompt: str
) -> None:
    if len(prompt.encode()) > context.workspace.limits.prompt_bytes:
        raise errors.TooLargeError("the prompt is too large")


async def _generate(
    request: litestar.Request,
    gateway_state: state.GatewayState,
    context: request_context.RequestContext,
    payload: messages.ChatRequest | messages.CompletionRequest,
    generation: generation_input.GenerationInput,
    builder_type: type[response_builder.ResponseBuilder],
) -> Any:
    record = context.record
    with record.track_failures():
        token = _resume_token(request, gateway_state, context)
    if token is not None:
        context = msgspec.structs.replace(
            context, request_id=token.run.request_id
        )
        record.resumed(token.run.request_id)
    session = gateway_state.create_generation_session(context, generation)
    builder = builder_type(context.request_id, payload.model)
    headers = {error_handlers.REQUEST_ID_HEADER: context.request_id}
    with contextlib.ExitStack() as resources:
        with record.track_failures():
            resources.enter_context(gateway_state.acquire_permit(context))
            start = session.resume(token) if token else session.start()
            await disconnect.run_while_connected(request.receive, start)
        if not payload.stream:
            collect = generation_response.collect_completion(session, builder)
            completion = await disconnect.run_while_connected(
                request.receive, collect
            )
            return litestar.Response(completion, headers=headers)
        resources.callback(session.close)
        options = payload.stream_options or messages.StreamOptions()
        return event_stream.EventStream(
            generation_response.stream_events(
                session, builder, options.include_usage
            ),
            resources.pop_all().close,
            headers,
        )


def _resume_token(
    request: litestar.Request,
    gateway_state: state.GatewayState,
    context: request_context.RequestContext,
) -> resume_token.ResumeToken | None:
    text = request.headers.get(_LAST_EVENT_ID)
    if not text:
        return None
    return gateway_state.resume_token_signer.verify(context.workspace_id, text)


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
