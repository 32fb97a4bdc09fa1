"""Renders a generation as one response or as server-sent events."""

from collections.abc import AsyncGenerator

import msgspec

from bronzeslip import errors
from bronzeslip.gateway import chunk_renderer
from bronzeslip.gateway import generation_session
from bronzeslip.gateway import openai_messages as messages
from bronzeslip.gateway import problem
from bronzeslip.gateway import response_builder
from bronzeslip.gateway import resume_token

_DONE = b"data: [DONE]\n\n"
_encoder = msgspec.json.Encoder()


async def collect_completion(
    session: generation_session.GenerationSession,
    builder: response_builder.ResponseBuilder,
) -> messages.Completion:
    """Collects a generation into one response body."""
    try:
        with session.record.track_outcome():
            texts = await session.collect()
    finally:
        session.close()
    finished = session.finished
    return builder.completion(
        "".join(texts), finished.finish_reason.value, _usage(session)
    )


async def stream_events(
    session: generation_session.GenerationSession,
    builder: response_builder.ResponseBuilder,
    include_usage: bool,
) -> AsyncGenerator[bytes, None]:
    """Yields a generation as server-sent events.

    The last event is [DONE] if the generation completed, otherwise an error.
    """
    renderer = chunk_renderer.ChunkRenderer(builder)
    resume_tokens: resume_token.ResumeTokenSeries | None = None
    try:
        with session.record.track_outcome():
            async for batch in session.token_batches():
                resume_tokens = resume_tokens or session.resume_token_series()
                next_index = batch.first_index + len(batch.texts)
                yield renderer.render(
                    "".join(batch.texts),
                    resume_tokens.token_at(next_index),
                    batch.first_index == 0,
                )
            finish_reason = session.finished.finish_reason.value
            yield chunk_renderer.encode_event(builder.last_chunk(finish_reason))
            if include_usage:
                yield chunk_renderer.encode_event(
                    builder.usage_chunk(_usage(session))
                )
            yield _DONE
    except errors.BronzeslipError as error:
        yield _error_event(error)
    finally:
        session.close()


def _error_event(error: errors.BronzeslipError) -> bytes:
    document = problem.from_error(error)
    return b"event: error\ndata: " + _encoder.encode(document) + b"\n\n"


def _usage(session: generation_session.GenerationSession) -> messages.Usage:
    finished = session.finished
    return messages.Usage(
        finished.prompt_token_count,
        finished.token_count,
        finished.prompt_token_count + finished.token_count,
    )
