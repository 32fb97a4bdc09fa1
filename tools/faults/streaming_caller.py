"""Caller of a streamed generation."""

import json
import threading

import httpx
import httpx_sse

from tools import local_process
from tools.faults import caller
from tools.faults import generation_caller
from tools.faults import history
from tools.faults import token_text
from tools.faults import trial_deployment

_END_MARKER = "[DONE]"


class StreamingCaller(generation_caller.GenerationCaller):
    """Reads a stream and reconnects with the id of the last event."""

    def __init__(
        self,
        gateways: list[local_process.LocalProcess],
        first_gateway: int,
        name: str,
        length: int,
    ) -> None:
        super().__init__(gateways, first_gateway, name, length)
        self._last_event_id = ""
        self._reading_enabled = threading.Event()
        self._reading_enabled.set()
        self._tokens_changed = threading.Condition()

    def pause_reading(self) -> None:
        """Pauses reading of the stream."""
        self._reading_enabled.clear()

    def resume_reading(self) -> None:
        """Resumes reading of the stream."""
        self._reading_enabled.set()

    def wait_tokens(self, count: int) -> None:
        """Waits until a number of tokens has been read."""
        with self._tokens_changed:
            self._tokens_changed.wait_for(
                lambda: len(self.tokens) >= count, caller.CALLER_TIMEOUT_S
            )

    def _attempt(self, url: str) -> bool:
        headers = dict(self._headers)
        if self._last_event_id:
            headers["Last-Event-ID"] = self._last_event_id
        body = {
            "model": trial_deployment.SHAPE.model,
            "prompt": self.prompt,
            "stream": True,
        }
        with (
            httpx.Client(timeout=caller.CALLER_TIMEOUT_S) as client,
            httpx_sse.connect_sse(
                client,
                "POST",
                f"{url}/v1/completions",
                headers={**headers, "Content-Type": "application/json"},
                content=self._content(body),
            ) as source,
        ):
            if source.response.status_code != httpx.codes.OK:
                source.response.read()
                self._record_status(source.response)
                return True
            return self._read(source)

    def _read(self, source: httpx_sse.EventSource) -> bool:
        for event in source.iter_sse():
            self._reading_enabled.wait(caller.CALLER_TIMEOUT_S)
            if self.abandoned.is_set():
                return True
            if event.data == _END_MARKER:
                self.outcome = history.Outcome.COMPLETED
                return True
            if event.event == "error":
                self._record_error(json.loads(event.data))
                return True
            self._record_chunk(event)
        return False

    def _record_chunk(self, event: httpx_sse.ServerSentEvent) -> None:
        choices = json.loads(event.data).get("choices") or []
        with self._tokens_changed:
            for choice in choices:
                self.tokens.extend(token_text.parse(choice["text"]))
            self._tokens_changed.notify_all()
        if event.id:
            self._last_event_id = event.id

    def _record_error(self, body: dict) -> None:
        error = body["error"]
        self.retry_after_s = error.get("retry_after_s")
        self.outcome = caller.outcome_of_code(
            error.get("code", ""), error.get("status", 0)
        )
