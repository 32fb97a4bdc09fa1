"""Base class of the callers in a trial."""

import abc
from collections.abc import Iterator
import json
import threading
import time
from typing import Any

import httpx

from tools import local_deployment
from tools import local_process
from tools.faults import history

CALLER_TIMEOUT_S = 60.0
RETRY_PAUSE_S = 0.2
MAX_ATTEMPTS = 40


class Caller(abc.ABC):
    """Sends one request in a thread and retries until a final response."""

    def __init__(
        self,
        gateways: list[local_process.LocalProcess],
        first_gateway: int,
        workspace: str,
    ) -> None:
        self._urls = [gateway.http_url() for gateway in gateways]
        self._first_gateway = first_gateway
        self._headers = local_deployment.caller_headers(workspace)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._body_held = threading.Event()
        self._body_released = threading.Event()
        self._body_released.set()
        self.abandoned = threading.Event()
        self.in_flight_at_drain = False
        self.outcome = history.Outcome.INTERRUPTED
        self.retry_after_s: float | None = None

    @abc.abstractmethod
    def result(self) -> history.RequestResult:
        """Returns the request and its result as a history event."""

    @abc.abstractmethod
    def _attempt(self, url: str) -> bool:
        """Sends the request once and returns whether the response is final."""

    def hold_body(self) -> None:
        """Makes the caller pause in the middle of the request body."""
        self._body_released.clear()

    def wait_body_held(self) -> None:
        """Waits until half of the body has been sent."""
        self._body_held.wait(CALLER_TIMEOUT_S)

    def release_body(self) -> None:
        """Lets the caller send the rest of the body."""
        self._body_released.set()

    def start(self) -> None:
        """Starts sending the request."""
        self._thread.start()

    def abandon(self) -> None:
        """Makes the caller disconnect without notice."""
        self.abandoned.set()
        self.release_body()

    def join(self) -> None:
        """Waits for the final response and abandons the request on timeout."""
        self._thread.join(CALLER_TIMEOUT_S)
        if self._thread.is_alive():
            self.abandoned.set()

    def _run(self) -> None:
        for attempt in range(MAX_ATTEMPTS):
            url = self._urls[(self._first_gateway + attempt) % len(self._urls)]
            try:
                if self._attempt(url) or self.abandoned.is_set():
                    return
            except httpx.HTTPError:
                if self.abandoned.is_set():
                    return
            time.sleep(RETRY_PAUSE_S)

    def _content(self, body: Any) -> Iterator[bytes]:
        data = (
            json.dumps(body).encode() if not isinstance(body, bytes) else body
        )
        half = len(data) // 2
        yield data[:half]
        self._body_held.set()
        self._body_released.wait(CALLER_TIMEOUT_S)
        if self.abandoned.is_set():
            raise httpx.WriteError("the caller disconnected")
        yield data[half:]

    def _record_status(self, response: httpx.Response) -> None:
        retry_after = response.headers.get("retry-after")
        self.retry_after_s = float(retry_after) if retry_after else None
        self.outcome = outcome_of(response)


def outcome_of(response: httpx.Response) -> history.Outcome:
    """Returns the outcome that a complete response stands for."""
    if response.status_code == httpx.codes.OK:
        return history.Outcome.COMPLETED
    code = response.json().get("code", "")
    return outcome_of_code(code, response.status_code)


def outcome_of_code(code: str, status: int) -> history.Outcome:
    """Returns the outcome that a problem code and status stand for."""
    by_code = {
        "incomplete": history.Outcome.INCOMPLETE,
        "outcome-unknown": history.Outcome.OUTCOME_UNKNOWN,
        "in-progress": history.Outcome.IN_PROGRESS,
    }
    if code in by_code:
        return by_code[code]
    if status in (
        httpx.codes.SERVICE_UNAVAILABLE,
        httpx.codes.TOO_MANY_REQUESTS,
    ):
        return history.Outcome.NOT_RUN
    return history.Outcome.REJECTED
