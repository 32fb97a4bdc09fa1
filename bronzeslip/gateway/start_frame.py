"""Creation of the frame that starts a generation."""

from bronzeslip import ids
from bronzeslip.admission import priorities
from bronzeslip.gateway import generation_input
from bronzeslip.gateway import request_context
from bronzeslip.transport.frames import generation as frames


def create(
    context: request_context.RequestContext,
    generation: generation_input.GenerationInput,
    generation_id: ids.GenerationId,
    incarnation_id: ids.IncarnationId,
    max_queue_wait_s: float | None,
    is_suspect: bool,
) -> frames.StartGeneration:
    """Creates the frame that requests a sidecar to run a generation.

    Args:
        context: The request.
        generation: Input of the generation.
        generation_id: Id of the generation.
        incarnation_id: Incarnation of the sidecar that may accept the frame,
            or empty for any.
        max_queue_wait_s: Maximum expected queue wait, in seconds, or None
            for no limit.
        is_suspect: Whether the request may have crashed an endpoint.
    """
    workspace = context.workspace
    return frames.StartGeneration(
        generation_id,
        context.request_id,
        context.workspace_id,
        context.service_name,
        generation.model,
        generation.prompt,
        generation.max_tokens,
        priorities.priority_of(workspace.workspace_class),
        workspace.weight,
        context.remaining_s(),
        incarnation_id,
        workspace.workspace_class,
        max_queue_wait_s,
        is_suspect,
    )
