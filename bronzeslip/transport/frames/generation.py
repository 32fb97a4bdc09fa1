"""Messages about generations."""

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import workspace
from bronzeslip.transport.frames import reason


class StartGeneration(msgspec.Struct, frozen=True, tag="start"):
    """Asks a sidecar to run a generation.

    Attributes:
        generation_id: Drawn by the gateway for this run.
        request_id: Request that the run serves.
        workspace_id: Workspace that the caller belongs to.
        service_name: Service called.
        model: Model that the caller named.
        prompt: Prompt as text.
        max_tokens: Most tokens to produce.
        priority: Engine priority; higher goes first.
        weight: Fair share of the workspace.
        expires_in_s: Time after which the run must not start, in seconds.
        incarnation_id: Incarnation of the sidecar that alone may run it, or
            empty if any may.
        workspace_class: Class of the workspace.
        max_queue_wait_s: Longest expected wait to be held for, in seconds;
            None for any.
        suspect: Whether it was running at a crash, so that it must not run
            beside another such one.
    """

    generation_id: ids.GenerationId
    request_id: ids.RequestId
    workspace_id: ids.WorkspaceId
    service_name: ids.ServiceName
    model: str
    prompt: str
    max_tokens: int
    priority: int
    weight: float
    expires_in_s: float
    incarnation_id: ids.IncarnationId = ids.IncarnationId("")
    workspace_class: workspace.WorkspaceClass = (
        workspace.WorkspaceClass.INTERACTIVE
    )
    max_queue_wait_s: float | None = None
    suspect: bool = False


class ResumeGeneration(msgspec.Struct, frozen=True, tag="resume"):
    """Asks for the tokens of a generation from an index on."""

    generation_id: ids.GenerationId
    workspace_id: ids.WorkspaceId
    next_index: int


class CancelGeneration(msgspec.Struct, frozen=True, tag="cancel"):
    """Ends a generation whose caller has gone."""

    generation_id: ids.GenerationId


class AcknowledgeTokens(msgspec.Struct, frozen=True, tag="ack"):
    """Tells that all tokens below an index were handed to the caller."""

    generation_id: ids.GenerationId
    next_index: int


class GenerationAccepted(msgspec.Struct, frozen=True, tag="accepted"):
    """Tells that the sidecar took a generation on."""

    generation_id: ids.GenerationId


class Tokens(msgspec.Struct, frozen=True, tag="tokens"):
    """Consecutive tokens of one generation."""

    generation_id: ids.GenerationId
    first_index: int
    texts: list[str]


class GenerationFinished(msgspec.Struct, frozen=True, tag="finished"):
    """Tells that a generation is whole."""

    generation_id: ids.GenerationId
    token_count: int
    finish_reason: reason.FinishReason
    prompt_token_count: int


class GenerationRefused(msgspec.Struct, frozen=True, tag="refused"):
    """Tells that a generation was not run."""

    generation_id: ids.GenerationId
    reason: reason.RefusalReason
    retry_after_s: float


class GenerationLost(msgspec.Struct, frozen=True, tag="lost"):
    """Tells that a generation started and will not be whole.

    Attributes:
        generation_id: The generation.
        reason: Why it was lost.
        crash_id: Crash of the engine that it was lost to, or empty.
    """

    generation_id: ids.GenerationId
    reason: reason.LossReason
    crash_id: ids.CrashId = ids.CrashId("")
