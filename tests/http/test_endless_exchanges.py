"""Tests that our clients bound responses without end, over loopback.

The clients of the product's own interface: the store, engines, plain endpoints,
other gateways and the command line.
"""

import unittest

from bronzeslip import errors as base_errors
from bronzeslip import ids
from bronzeslip.cli import explanation_client
from bronzeslip.cli import operator_client
from bronzeslip.engine import client as engine_client
from bronzeslip.engine import messages
from bronzeslip.entry import peer_http
from bronzeslip.entry import vm_config
from bronzeslip.explanation import explanation_request
from bronzeslip.quota import peer
from bronzeslip.settings import explain
from bronzeslip.settings import operator
from bronzeslip.store import client as store_client
from bronzeslip.transport.frames import call as frames
from tests.support import call_runners
from tests.support import endless_server
from tests.support import forwarding_parts

_TIMEOUT_S = 1.0
_PAUSE_S = 0.001
_STREAM = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
_EVENTS = {
    "event": (_STREAM + b"6\r\ndata: \r\n", endless_server.CHUNK),
    "comments": (
        _STREAM,
        b"ea60\r\n" + b": " + b"x" * 59_996 + b"\n\n\r\n",
    ),
}
# What responses of 64 MiB may take while they are read.
_MAX_LARGE_KB = 98_304


class _UnknownOutcomeError(Exception):
    """Whether a call has run is unknown."""


_ERRORS = (base_errors.BronzeslipError, _UnknownOutcomeError)


class EndlessExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = endless_server.EndlessServer()
        port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.url = f"http://127.0.0.1:{port}"
        self.address = vm_config.SocketAddress("127.0.0.1", port)

    async def _check(self, call, scripts=endless_server.HEADS_AND_BODIES):
        """Checks one call against each kind of endless response."""
        for name, script in scripts.items():
            with self.subTest(name):
                self.server.play(script, _PAUSE_S)
                await endless_server.assert_bounded(self, call, _ERRORS)

    async def _check_large(self, call):
        """Checks a call whose sound responses may be large."""
        await self._check(call, endless_server.HEADS)
        for name, script in endless_server.BODIES.items():
            with self.subTest(name):
                self.server.play(script, _PAUSE_S)
                await endless_server.assert_bounded(
                    self, call, _ERRORS, _MAX_LARGE_KB
                )

    async def _check_slow(self, call):
        for name, script in endless_server.SLOW.items():
            with self.subTest(name):
                self.server.play(script, pause_s=0.05)
                await endless_server.assert_bounded(self, call, _ERRORS)

    # Guards against the store's responses that fill the memory of a process.
    async def test_store(self):
        store = store_client.PlatformClient(self.url, _TIMEOUT_S)
        self.addAsyncCleanup(store.close)

        async def list_objects():
            await store.list_objects("k/")

        await self._check_large(list_objects)
        await self._check_slow(list_objects)

    # Guards against reports of an engine that fill the memory of its sidecar.
    async def test_engine_calls(self):
        engine = engine_client.EngineClient(self.url)
        self.addAsyncCleanup(engine.close)
        await self._check(engine.load)
        await self._check(engine.probe)
        self.server.play(endless_server.SLOW["slow body"], pause_s=0.05)
        await endless_server.assert_bounded(self, engine.probe, _ERRORS)

    # Guards against an event of an engine that fills the memory of its sidecar.
    async def test_stream_of_an_engine(self):
        engine = engine_client.EngineClient(self.url)
        self.addAsyncCleanup(engine.close)
        request = messages.GenerationRequest(
            ids.GenerationId("g1"), "m", "prompt", 8, 1
        )

        async def generate():
            async for _ in engine.generate(request):
                pass

        await self._check(generate, {**endless_server.HEADS, **_EVENTS})

    # Guards against responses of a plain endpoint that fill that memory.
    async def test_calls_of_a_sidecar(self):
        runner = call_runners.create(self.url)
        self.addAsyncCleanup(runner.close)
        start = call_runners.create_start("/x", expires_in_s=_TIMEOUT_S)
        scripts = {
            **endless_server.HEADS_AND_BODIES,
            "slow body": endless_server.SLOW["slow body"],
        }
        for name, script in scripts.items():
            with self.subTest(name):
                self.server.play(script, 0.05 if "slow" in name else _PAUSE_S)

                async def run():
                    outcome = await runner.run(start)
                    self.assertIsInstance(outcome, frames.CallOutcomeUnknown)
                    raise _UnknownOutcomeError

                await endless_server.assert_bounded(self, run, _ERRORS)

    # Guards against replies of a gateway that fill the memory of another.
    async def test_calls_of_other_gateways(self):
        client = peer_http.HttpPeerClient(forwarding_parts.SETTINGS)
        target = peer.Peer(ids.VmId("front-2"), self.address)
        request = forwarding_parts.create_permit_request()

        async def ask():
            await client.ask(target, request)

        await self._check(ask)
        await self._check_slow(ask)

    # Guards against responses of a gateway that fill the operator's machine.
    async def test_command_line(self):
        operations = operator_client.OperatorClient(
            operator.OperatorSettings(
                gateway_urls=(self.url,),
                credential="c",
                request_timeout_s=_TIMEOUT_S,
                attempts=1,
            )
        )
        self.addAsyncCleanup(operations.close)
        explanations = explanation_client.ExplanationClient(
            explain.ExplainSettings(
                peer_address=f"{self.address.host}:{self.address.port}",
                request_timeout_s=_TIMEOUT_S,
            )
        )
        self.addAsyncCleanup(explanations.close)
        request = explanation_request.ExplanationRequest(
            host="h.example", path="/p/x"
        )

        async def explain_request():
            await explanations.explain(request)

        for call in (operations.read, explain_request):
            await self._check_large(call)
            await self._check_slow(call)


if __name__ == "__main__":
    unittest.main()
