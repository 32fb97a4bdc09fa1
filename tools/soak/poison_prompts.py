"""Sends prompts that share a part which crashes engines."""

from collections.abc import Sequence
import contextlib
import random
import time
import uuid

import httpx

from tools import entry_configuration
from tools import entry_deployment
from tools import entry_gateway
from tools.soak import request_kind
from tools.soak import request_result

# Time after the fifth crash from which few further requests may reach engines.
CONTACT_S = 4.0
_FIRST_COUNT = 10
_LATER_COUNT = 10
_PREAMBLE = "preamble"


class PoisonPrompts:
    """Sends prompts with one poison part and restarts the crashed engines.

    Attributes:
        results: Results of the requests, in the order in which they ended.
    """

    def __init__(
        self,
        deployment: entry_deployment.EntryDeployment,
        gateways: Sequence[entry_gateway.EntryGateway],
        rng: random.Random,
    ) -> None:
        """Creates a sender.

        Args:
            deployment: Deployment whose engines crash.
            gateways: Gateways to call.
            rng: Source of random numbers.
        """
        self.results: list[request_result.RequestResult] = []
        self._deployment = deployment
        self._gateways = gateways
        self._rng = rng

    def send_series(self) -> None:
        """Sends prompts, and more once all gateways should refuse them."""
        part = f"poison-{self._rng.getrandbits(32):x}"
        for _ in range(_FIRST_COUNT):
            self._send(part)
        time.sleep(CONTACT_S)
        for _ in range(_LATER_COUNT):
            self._send(part)

    def _send(self, part: str) -> None:
        gateway = self._rng.choice(self._gateways)
        request_id = uuid.UUID(int=self._rng.getrandbits(128)).hex[:16]
        sent = request_result.SentRequest(
            request_id,
            request_kind.RequestKind.STREAM,
            gateway.name,
            time.monotonic(),
            part,
        )
        response = None
        # A lost response is a result too.
        with contextlib.suppress(httpx.HTTPError):
            response = gateway.call(
                request_id,
                entry_configuration.STREAMS_PATH,
                b"stream " + request_id.encode(),
                (_PREAMBLE, part),
            )
        self.results.append(sent.ended(response))
        for engine in self._deployment.engines:
            if engine.restart_if_exited():
                self._deployment.register(engine)
