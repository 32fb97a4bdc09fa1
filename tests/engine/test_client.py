"""Tests of bronzeslip.engine.client, over loopback."""

import unittest

from bronzeslip import ids
from bronzeslip.engine import client
from bronzeslip.engine import messages
from tests.support import raw_server

_STATE = (
    b'{"model":"m","model_version":"1","adapters":{},"role":"both",'
    b'"fencing_number":1}'
)


def _stream(text):
    return (
        b'data: {"kind":"tokens","first_index":0,"texts":["%s"]}\n\n' % text
        + b'data: {"kind":"finished","finish_reason":"stop"}\n\n'
    )


def _response(body):
    return raw_server.create_response(
        body, headers=b"Content-Type: text/event-stream\r\n"
    )


class LateResponseTest(unittest.IsolatedAsyncioTestCase):
    async def _connect(self, *bodies):
        server = raw_server.RawServer(*(_response(body) for body in bodies))
        server.repeats_responses = True
        port = await server.start()
        self.addAsyncCleanup(server.stop)
        engine = client.EngineClient(f"http://127.0.0.1:{port}")
        self.addAsyncCleanup(engine.close)
        return engine

    # Guards against the tokens of another generation, as events name none.
    async def test_generation_reads_no_earlier_stream(self):
        engine = await self._connect(_stream(b"a"), _stream(b"b"))
        texts = []
        for name in ("g1", "g2"):
            request = messages.GenerationRequest(
                ids.GenerationId(name), "m", "prompt", 8, 1
            )
            async for event in engine.generate(request):
                texts += event.texts
        self.assertEqual(texts, ["a", "b"])

    # Guards against taking an earlier confirmation for that of an order.
    async def test_order_gets_no_earlier_state(self):
        later = _STATE.replace(b'number":1', b'number":2')
        engine = await self._connect(_STATE, later)
        numbers = []
        for number in (1, 2):
            state = await engine.send_order(
                messages.EngineOrder(
                    messages.OrderKind.SET_ROLE, "both", "", number
                )
            )
            numbers.append(state.fencing_number)
        self.assertEqual(numbers, [1, 2])


if __name__ == "__main__":
    unittest.main()
