"""Admission request of a generation."""

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import workspace


class AdmissionRequest(msgspec.Struct, frozen=True):
    """A generation that requests admission to the engine.

    Attributes:
        generation_id: Id of the generation.
        workspace_id: Workspace of the caller.
        service_name: Name of the called service.
        workspace_class: Class of the workspace.
        weight: Fair-queueing weight of the workspace.
        prompt_bytes: Size of the prompt, in bytes.
        max_tokens: Maximum number of tokens to generate.
        expires_in_s: Time after which it must not start, in seconds.
        max_queue_wait_s: Maximum expected queue wait, in seconds; the request
            is refused immediately if a longer wait is expected.
    """

    generation_id: ids.GenerationId
    workspace_id: ids.WorkspaceId
    service_name: ids.ServiceName
    workspace_class: workspace.WorkspaceClass
    weight: float
    prompt_bytes: int
    max_tokens: int
    expires_in_s: float
    max_queue_wait_s: float = float("inf")
