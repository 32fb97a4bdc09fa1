"""A place on the engine."""

from bronzeslip.admission import request


class Ticket:
    """Held by a generation from its admission to its end.

    Attributes:
        request: The generation's request.
        generated_tokens: Tokens produced so far.
        prompt_tokens: Tokens of the prompt once the engine has told, or 0.
        priority: Priority for the engine; higher is preempted last.
    """

    __slots__ = ("generated_tokens", "priority", "prompt_tokens", "request")

    def __init__(
        self, admission_request: request.AdmissionRequest, priority: int = 0
    ) -> None:
        self.request = admission_request
        self.generated_tokens = 0
        self.prompt_tokens = 0
        self.priority = priority
