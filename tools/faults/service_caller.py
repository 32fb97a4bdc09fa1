"""Caller of a plain service that must not repeat a call."""

import httpx

from tools import local_process
from tools.faults import caller
from tools.faults import fleet
from tools.faults import history


class ServiceCaller(caller.Caller):
    """Sends a call and sends it again until the answer is definite."""

    def __init__(
        self,
        gateways: list[local_process.LocalProcess],
        first_gateway: int,
        key: str,
    ) -> None:
        super().__init__(gateways, first_gateway, fleet.SHAPE.workspaces[0])
        self.key = key

    def answer(self) -> history.CallerAnswer:
        """Describes the request and its answer."""
        return history.CallerAnswer(
            self.key,
            self.outcome,
            idempotency_key=self.key,
            retry_after_s=self.retry_after_s,
            in_flight_at_drain=self.in_flight_at_drain,
        )

    def _attempt(self, url: str) -> bool:
        answer = httpx.post(
            f"{url}/v1/services/{fleet.SHAPE.plain_service}/records",
            headers={**self._headers, "Idempotency-Key": self.key},
            content=self._content(self.key.encode()),
            timeout=caller.CALLER_TIMEOUT_S,
        )
        self._take_status(answer)
        return self.outcome is not history.Outcome.IN_PROGRESS
