"""Frames of a generation for tests."""

from bronzeslip import ids
from bronzeslip.transport.frames import generation as frames

GENERATION_ID = ids.GenerationId("g")
WORKSPACE_ID = ids.WorkspaceId("w")


def create_start_frame(incarnation_id=""):
    """Returns the frame that starts the generation."""
    return frames.StartGeneration(
        GENERATION_ID,
        ids.RequestId("r"),
        WORKSPACE_ID,
        ids.ServiceName("s"),
        "m",
        "p",
        max_tokens=9,
        priority=0,
        weight=1.0,
        expires_in_s=60.0,
        incarnation_id=incarnation_id,
    )
