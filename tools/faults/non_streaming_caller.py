"""Caller of a generation that is not streamed."""

import httpx

from tools.faults import caller
from tools.faults import generation_caller
from tools.faults import history
from tools.faults import token_text
from tools.faults import trial_deployment


class NonStreamingCaller(generation_caller.GenerationCaller):
    """Requests a complete response and retries if the gateway is lost."""

    def _attempt(self, url: str) -> bool:
        body = {"model": trial_deployment.SHAPE.model, "prompt": self.prompt}
        response = httpx.post(
            f"{url}/v1/completions",
            headers={**self._headers, "Content-Type": "application/json"},
            content=self._content(body),
            timeout=caller.CALLER_TIMEOUT_S,
        )
        self._record_status(response)
        if self.outcome is history.Outcome.COMPLETED:
            text = response.json()["choices"][0]["text"]
            self.tokens = list(token_text.parse(text))
        return True
