"""Engines that crash when they begin to answer a prompt with a poison part."""

import asyncio

from bronzeslip.forwarding import endpoint_errors
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

EVENT = b"id: 1\ndata: a\n\n"


class CrashingEngines:
    """Endpoint client that several gateways share.

    Attributes:
        poison_parts: Ids of the prompt parts that crash an engine.
        arrivals: Ids of the requests with such a part that reached an engine.
        crash_count: Number of crashes.
        down: Names of the engines that have crashed and are not back.
        holds_answers: Whether engines hold safe requests until they crash.
    """

    def __init__(self, names):
        self._names = names
        self._start_count = 1
        self._crashed = {name: asyncio.Event() for name in names}
        self.poison_parts = set()
        self.arrivals = []
        self.crash_count = 0
        self.down = set()
        self.holds_answers = False

    def endpoints(self):
        """Returns the discovery entries of the engines."""
        return [
            forwarding_parts.create_endpoint(
                name, started_unix_ms=self._start_count
            )
            for name in self._names
        ]

    def start_again(self):
        """Starts the engines that have crashed, as new incarnations."""
        self._start_count += 1
        self.down.clear()
        self._crashed = {name: asyncio.Event() for name in self._names}

    def crash(self, name):
        """Ends an engine with all requests that it holds."""
        self.crash_count += 1
        self.down.add(name)
        self._crashed[name].set()

    async def send(self, outgoing):
        name = outgoing.endpoint.endpoint_id
        if name in self.down:
            raise endpoint_errors.EndpointAbsentError("refused")
        parts = {part.part_id for part in outgoing.request.shape.parts[:-1]}
        lost = endpoint_errors.EndpointResponseLostError("reset")
        if parts & self.poison_parts:
            self.arrivals.append(outgoing.request.request_id)
            self.crash(name)
            return scripted_endpoints.ScriptedResponse(200, [lost])
        if self.holds_answers:
            await self._crashed[name].wait()
            raise lost
        return scripted_endpoints.ScriptedResponse(200, [EVENT])

    async def check_presence(self, target, health_path):
        if target.endpoint_id in self.down:
            raise endpoint_errors.EndpointAbsentError("refused")

    def remove_endpoint(self, target):
        pass
