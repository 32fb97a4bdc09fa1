"""Draining, reclaim and shutdown of real processes under load."""

import dataclasses
import signal
import threading
import unittest

import httpx
import openai

from tools import declarations
from tools import local_deployment
from tools import shapes

SHAPE = dataclasses.replace(
    shapes.MIDLANDS, regions=("brum",), engine_count=2, plain_count=2
)
RECLAIM_NOTICE_S = 3.0
LENGTH = 200


class Streaming(threading.Thread):
    """One streamed answer, read to its end."""

    def __init__(self, deployment, gateway, length=LENGTH):
        super().__init__(daemon=True)
        self._client = openai.OpenAI(
            base_url=f"{gateway.http_url()}/v1",
            api_key=declarations.credential_of("smiths"),
            max_retries=0,
            timeout=60.0,
        )
        self._model = deployment.shape.model
        self._length = length
        self.begun = threading.Event()
        self.text = ""
        self.finish_reason = None
        self.error = None

    def run(self):
        try:
            self._read()
        except openai.OpenAIError as error:
            self.error = error
        finally:
            self.begun.set()

    def _read(self):
        chunks = self._client.completions.create(
            model=self._model,
            prompt=f"draft #length={self._length}",
            stream=True,
        )
        for chunk in chunks:
            for choice in chunk.choices:
                self.text += choice.text
                self.finish_reason = choice.finish_reason or self.finish_reason
                self.begun.set()

    @property
    def token_count(self):
        return len(self.text.split())


class DrainingTest(unittest.TestCase):
    def setUp(self):
        self.deployment = local_deployment.LocalDeployment(
            SHAPE,
            sidecar_flags=("--reclaim-notice-s", str(RECLAIM_NOTICE_S)),
        )
        self.addCleanup(self.deployment.stop)
        self.deployment.start()
        self.addCleanup(self.kill_engines)

    def kill_engines(self):
        for engine in self.deployment.engines:
            engine.kill()

    def stream(self, gateway, length=LENGTH):
        streaming = Streaming(self.deployment, gateway, length)
        streaming.start()
        self.assertTrue(streaming.begun.wait(30.0))
        return streaming

    def assert_whole(self, streaming):
        streaming.join(60.0)
        self.assertIsNone(streaming.error)
        self.assertEqual(streaming.token_count, LENGTH)
        self.assertEqual(streaming.finish_reason, "stop")

    def started(self, engine):
        return len(httpx.get(f"{engine.http_url()}/standin/started").json())

    def complete(self, gateway):
        return httpx.post(
            f"{gateway.http_url()}/v1/completions",
            headers=local_deployment.caller_headers("clerks"),
            json={
                "model": SHAPE.model,
                "prompt": "check #length=2",
                "max_tokens": 4,
            },
            timeout=30.0,
        )

    def test_sidecar_gateway_and_hurry(self):
        first, second = self.deployment.gateways
        streams = [self.stream(first) for _ in range(6)]
        sidecar = self.deployment.sidecars[0]
        before = self.started(self.deployment.engines[0])
        sidecar.request_stop()
        sidecar.wait_for_line("shutdown.signal")
        for _ in range(10):
            self.assertEqual(self.complete(second).status_code, 200)
        self.assertEqual(self.started(self.deployment.engines[0]), before)
        for streaming in streams:
            self.assert_whole(streaming)
        self.assertEqual(sidecar.wait(), 0)

        idle = httpx.Client(base_url=first.http_url())
        self.addCleanup(idle.close)
        self.assertEqual(idle.get("/livez").status_code, 200)
        streams = [self.stream(first) for _ in range(3)]
        first.request_stop()
        first.wait_for_line("shutdown.signal")
        for streaming in streams:
            self.assert_whole(streaming)
        self.assertEqual(first.wait(), 0)

        hurried = self.stream(second, length=20_000)
        second.request_stop()
        second.wait_for_line("shutdown.signal")
        second.send_signal(signal.SIGTERM)
        self.assertEqual(second.wait(), 0)
        hurried.join(30.0)
        self.assertLess(hurried.token_count, 20_000)

    def test_reclaimed_engine(self):
        gateway = self.deployment.gateways[0]
        engine, sidecar = (
            self.deployment.engines[0],
            self.deployment.sidecars[0],
        )
        streams = []
        while not self.runs(engine, streams):
            streams.append(self.stream(gateway, length=20_000))
        httpx.post(f"{engine.http_url()}/standin/modes", json={"leaving": True})
        sidecar.wait_for_line("sidecar.leaving")
        before = self.started(engine)
        for _ in range(10):
            answer = self.complete(gateway)
            self.assertEqual(answer.status_code, 200, answer.text)
        self.assertEqual(self.started(engine), before)
        sidecar.wait_for_line("sidecar.reclaimed")
        lost = [streaming for streaming in streams if self.is_lost(streaming)]
        self.assertTrue(lost)
        for streaming in lost:
            self.assertIsNotNone(streaming.error)

    def runs(self, engine, streams):
        """Tells whether an engine runs one of the streams."""
        shown = httpx.get(f"{engine.http_url()}/standin/shown").json()
        return bool(streams) and any(count > 1 for count in shown.values())

    def is_lost(self, streaming):
        streaming.join(2.0)
        return not streaming.is_alive()


if __name__ == "__main__":
    unittest.main()
