"""Ticket of an admitted generation."""

from bronzeslip.admission import request


class Ticket:
    """State of a generation from its admission to its release.

    Attributes:
        request: Admission request of the generation.
        generated_tokens: Number of tokens generated so far.
        prompt_tokens: Prompt length in tokens as reported by the engine, or 0
            before it is reported.
        priority: Scheduling priority at the engine; sequences with a lower
            priority are preempted first.
    """

    __slots__ = ("generated_tokens", "priority", "prompt_tokens", "request")

    def __init__(
        self, admission_request: request.AdmissionRequest, priority: int = 0
    ) -> None:
        self.request = admission_request
        self.generated_tokens = 0
        self.prompt_tokens = 0
        self.priority = priority
