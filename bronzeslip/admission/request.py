"""What admission knows of a request for a generation."""

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import workspace


class AdmissionRequest(msgspec.Struct, frozen=True):
    """One generation that asks for a place on the engine.

    Attributes:
        generation_id: Id of the run.
        workspace_id: Workspace of the caller.
        service_name: Service called.
        workspace_class: Class of the workspace.
        weight: Share of the workspace.
        prompt_bytes: Size of the prompt, in bytes.
        max_tokens: Most tokens to produce.
        expires_in_s: Time after which it must not start, in seconds.
        max_queue_wait_s: Longest expected wait to be held for, in
            seconds; a longer one is refused at once.
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
