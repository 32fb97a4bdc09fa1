"""Caller of a plain service whose calls must not repeat."""

import httpx

from tools import local_process
from tools.faults import caller
from tools.faults import history
from tools.faults import trial_deployment


class ServiceCaller(caller.Caller):
    """Sends a call and retries it until the response is definite."""

    def __init__(
        self,
        gateways: list[local_process.LocalProcess],
        first_gateway: int,
        key: str,
    ) -> None:
        super().__init__(
            gateways, first_gateway, trial_deployment.SHAPE.workspaces[0]
        )
        self.key = key

    def result(self) -> history.RequestResult:
        """Returns the request and its result as a history event."""
        return history.RequestResult(
            self.key,
            self.outcome,
            idempotency_key=self.key,
            retry_after_s=self.retry_after_s,
            in_flight_at_drain=self.in_flight_at_drain,
        )

    def _attempt(self, url: str) -> bool:
        response = httpx.post(
            f"{url}/v1/services/{trial_deployment.SHAPE.plain_service}/records",
            headers={**self._headers, "Idempotency-Key": self.key},
            content=self._content(self.key.encode()),
            timeout=caller.CALLER_TIMEOUT_S,
        )
        self._record_status(response)
        return self.outcome is not history.Outcome.IN_PROGRESS
