"""Base class of the callers that request a generation."""

from standins.engine import sequence
from tools import local_process
from tools.faults import caller
from tools.faults import history
from tools.faults import trial_deployment


class GenerationCaller(caller.Caller):
    """Requests a generation of a known length."""

    def __init__(
        self,
        gateways: list[local_process.LocalProcess],
        first_gateway: int,
        name: str,
        length: int,
    ) -> None:
        super().__init__(
            gateways, first_gateway, trial_deployment.SHAPE.workspaces[0]
        )
        self._name = name
        self._length = length
        self.prompt = f"{name} #length={length}"
        self.tokens: list[history.ReceivedToken] = []

    def result(self) -> history.RequestResult:
        """Returns the request and its result as a history event."""
        return history.RequestResult(
            self._name,
            self.outcome,
            prompt_fingerprint=sequence.prompt_fingerprint(self.prompt),
            expected_tokens=self._length,
            tokens=tuple(self.tokens),
            retry_after_s=self.retry_after_s,
            in_flight_at_drain=self.in_flight_at_drain,
        )
