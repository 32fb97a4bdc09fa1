"""Tests of a gateway's OpenAI interface under clients that don't behave."""

import asyncio
import dataclasses
import time
import unittest

import httpx

from tests.support import misbehaving_clients
from tools import declarations
from tools import local_deployment
from tools import memory_watch
from tools import sampling
from tools import shapes

_SHAPE = dataclasses.replace(shapes.MIDLANDS, engine_count=1, plain_count=1)
_MEMORY_MB = 200
_HOLD_S = 4.0
_ORDINARY_TIMEOUT_S = 15.0
_MAX_BODY_BYTES = 4_000_000
_CHAT = "/v1/chat/completions"
_once = misbehaving_clients.once
_Behaviour = misbehaving_clients.Behaviour


def _filled(start, unit, end=b"]}"):
    """Returns a JSON body of nearly the maximum size."""
    count = (_MAX_BODY_BYTES - len(start) - len(end)) // (len(unit) + 1)
    return start + b",".join([unit] * count) + end


def _request(body, path=_CHAT):
    credential = declarations.credential_of("smiths")
    return (
        f"POST {path} HTTP/1.1\r\nhost: x\r\n"
        f"authorization: Bearer {credential}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
    ).encode() + body


class MisbehavingOpenAiClientsTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = local_deployment.LocalDeployment(
            _SHAPE,
            gateway_count=1,
            gateway_flags=(f"--memory-limit-mb={_MEMORY_MB}",),
        )
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()

    def setUp(self):
        # Peaks are those of a process, so each test has its own.
        self.gateway = self.deployment.start_gateway(1)
        self.addCleanup(self.gateway.stop)
        self.port = self.gateway.http_port()
        self.assertTrue(self.is_answered())
        self.watch = memory_watch.MemoryWatch(self.gateway.pid)

    async def hold(self, count, data):
        """Keeps clients connected and checks the process meanwhile."""
        address = "127.0.0.1", self.port
        with sampling.repeat(self.watch.sample):
            async with misbehaving_clients.crowd(
                address, count, _Behaviour(_once(data))
            ):
                await asyncio.sleep(_HOLD_S)
                answered = await asyncio.to_thread(self.is_answered)
        self.assertIsNone(self.gateway.exit_status)
        figures = (
            f"{self.watch.peak_bytes / 1e6:.0f} MB "
            f"({self.watch.resident_peak_bytes / 1e6:.0f} resident), "
            f"ordinary request answered: {answered}"
        )
        print(f"{self.id().rsplit('.', 1)[-1]}: {figures}")
        self.assertTrue(answered, figures)
        self.assertLessEqual(
            self.watch.peak_bytes, _MEMORY_MB * 1_000_000, figures
        )

    def is_answered(self):
        """Repeats an ordinary request until it is answered."""
        due_s = time.monotonic() + _ORDINARY_TIMEOUT_S
        while time.monotonic() < due_s:
            try:
                response = httpx.post(
                    f"http://127.0.0.1:{self.port}{_CHAT}",
                    headers={
                        "authorization": "Bearer "
                        + declarations.credential_of("smiths")
                    },
                    json={
                        "model": _SHAPE.model,
                        "messages": [{"role": "user", "content": "#length=2"}],
                    },
                    timeout=5.0,
                )
                if response.status_code == httpx.codes.OK:
                    return True
            except httpx.TransportError:
                pass
            time.sleep(0.3)
        return False

    # Guards against values that take far more memory than their text.
    async def test_arrays_of_empty_arrays(self):
        body = _filled(b'{"model":"m","tools":[', b"[]")
        await self.hold(60, _request(body) * 20)

    async def test_many_short_strings(self):
        body = _filled(b'{"model":"m","prompt":[', b'"ab"')
        await self.hold(60, _request(body, "/v1/completions") * 20)

    async def test_many_short_messages(self):
        body = _filled(b'{"model":"m","messages":[', b'{"role":"a"}')
        await self.hold(60, _request(body) * 20)

    async def test_many_short_keys(self):
        body = _filled(b'{"model":"m",', b'"a":1', b"}")
        await self.hold(60, _request(body) * 20)

    # Guards against bodies that are held until the timeout of a body.
    async def test_bodies_that_do_not_end(self):
        body = _filled(b'{"model":"m","messages":[', b'{"role":"a"}')
        await self.hold(100, _request(body)[:-1])

    async def test_small_bodies_that_do_not_end(self):
        await self.hold(450, _request(b"x" * 16_000)[:-1])


if __name__ == "__main__":
    unittest.main()
