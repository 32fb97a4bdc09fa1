"""Caller of a generation that is not streamed."""

import httpx

from standins.engine import sequence
from tools import local_process
from tools.faults import caller
from tools.faults import fleet
from tools.faults import history
from tools.faults import token_text


class WholeCaller(caller.Caller):
    """Asks for a whole answer and asks again if the gateway is lost."""

    def __init__(
        self,
        gateways: list[local_process.LocalProcess],
        first_gateway: int,
        name: str,
        length: int,
    ) -> None:
        super().__init__(gateways, first_gateway, fleet.SHAPE.workspaces[0])
        self._name = name
        self._length = length
        self.prompt = f"{name} #length={length}"
        self.tokens: tuple[history.TokenSeen, ...] = ()

    def answer(self) -> history.CallerAnswer:
        """Describes the request and its answer."""
        return history.CallerAnswer(
            self._name,
            self.outcome,
            prompt_mark=sequence.prompt_mark(self.prompt),
            expected_tokens=self._length,
            tokens=self.tokens,
            retry_after_s=self.retry_after_s,
            in_flight_at_drain=self.in_flight_at_drain,
        )

    def _attempt(self, url: str) -> bool:
        body = {"model": fleet.SHAPE.model, "prompt": self.prompt}
        answer = httpx.post(
            f"{url}/v1/completions",
            headers={**self._headers, "Content-Type": "application/json"},
            content=self._content(body),
            timeout=caller.CALLER_TIMEOUT_S,
        )
        self._take_status(answer)
        if self.outcome is history.Outcome.COMPLETED:
            text = answer.json()["choices"][0]["text"]
            self.tokens = token_text.parse(text)
        return True
