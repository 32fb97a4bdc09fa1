"""Client that reads a streamed completion incrementally."""

import contextlib
import json

import httpx
import httpx_sse

from tools import local_deployment

_TIMEOUT_S = 30.0
_DONE = "[DONE]"


class CallerStream:
    """One streamed completion.

    Attributes:
        tokens: Tokens received so far.
        last_event_id: Id of the last event received; the resume token.
        completion_ids: Completion ids of the chunks received.
        is_complete: Whether the event that ends a completion was received.
        error: The error that ended the stream, or None.
    """

    def __init__(self, url, workspace, model, prompt, last_event_id=None):
        self.tokens = []
        self.completion_ids = set()
        self.last_event_id = last_event_id
        self.is_complete = False
        self.error = None
        self._stack = contextlib.ExitStack()
        http = self._stack.enter_context(httpx.Client(timeout=_TIMEOUT_S))
        headers = local_deployment.caller_headers(workspace)
        if last_event_id:
            headers["Last-Event-ID"] = last_event_id
        event_source = self._stack.enter_context(
            httpx_sse.connect_sse(
                http,
                "POST",
                f"{url}/v1/completions",
                headers=headers,
                json={"model": model, "prompt": prompt, "stream": True},
            )
        )
        event_source.response.raise_for_status()
        self._events = event_source.iter_sse()

    def close(self):
        """Closes the connection."""
        self._stack.close()

    def read_until(self, token_count):
        """Reads until `token_count` tokens are received or the stream ends."""
        while len(self.tokens) < token_count and self._read_event():
            pass

    def read_to_end(self):
        """Reads to the end of the stream, even if the connection breaks."""
        with contextlib.suppress(httpx.HTTPError):
            while self._read_event():
                pass
        self.close()

    def _read_event(self):
        event = next(self._events, None)
        if event is None:
            return False
        self.last_event_id = event.id or self.last_event_id
        if event.event == "error":
            self.error = json.loads(event.data)["error"]
        elif event.data == _DONE:
            self.is_complete = True
        else:
            chunk = json.loads(event.data)
            self.completion_ids.add(chunk["id"])
            self.tokens += chunk["choices"][0]["text"].split()
        return True
