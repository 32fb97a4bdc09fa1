"""Tests of draining, reclaim and shutdown of processes under load."""

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
TOKEN_COUNT = 200


class StreamThread(threading.Thread):
    """Reads one streamed completion to its end.

    Attributes:
        first_token_or_end: Set when the first token arrives or the stream ends.
        text: Text received so far.
        finish_reason: Finish reason, or None if none was received.
        error: The error that ended the stream, or None.
    """

    def __init__(self, deployment, gateway, token_count=TOKEN_COUNT):
        super().__init__(daemon=True)
        self._client = openai.OpenAI(
            base_url=f"{gateway.http_url()}/v1",
            api_key=declarations.credential_of("smiths"),
            max_retries=0,
            timeout=60.0,
        )
        self._model = deployment.shape.model
        self._token_count = token_count
        self.first_token_or_end = threading.Event()
        self.text = ""
        self.finish_reason = None
        self.error = None

    def run(self):
        try:
            self._read_stream()
        except openai.OpenAIError as error:
            self.error = error
        finally:
            self.first_token_or_end.set()

    def _read_stream(self):
        chunks = self._client.completions.create(
            model=self._model,
            prompt=f"draft #length={self._token_count}",
            stream=True,
        )
        for chunk in chunks:
            for choice in chunk.choices:
                self.text += choice.text
                self.finish_reason = choice.finish_reason or self.finish_reason
                self.first_token_or_end.set()

    @property
    def received_token_count(self):
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

    def start_stream(self, gateway, token_count=TOKEN_COUNT):
        stream_thread = StreamThread(self.deployment, gateway, token_count)
        stream_thread.start()
        self.assertTrue(stream_thread.first_token_or_end.wait(30.0))
        return stream_thread

    def assert_complete(self, stream_thread):
        stream_thread.join(60.0)
        self.assertIsNone(stream_thread.error)
        self.assertEqual(stream_thread.received_token_count, TOKEN_COUNT)
        self.assertEqual(stream_thread.finish_reason, "stop")

    def started_count(self, engine):
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

    def test_sidecar_and_gateway_drain_and_second_signal_forces_exit(
        self,
    ):
        first, second = self.deployment.gateways
        stream_threads = [self.start_stream(first) for _ in range(6)]
        sidecar = self.deployment.sidecars[0]
        started_before = self.started_count(self.deployment.engines[0])
        sidecar.request_stop()
        sidecar.wait_for_line("shutdown.signal")
        for _ in range(10):
            self.assertEqual(self.complete(second).status_code, 200)
        self.assertEqual(
            self.started_count(self.deployment.engines[0]), started_before
        )
        for stream_thread in stream_threads:
            self.assert_complete(stream_thread)
        self.assertEqual(sidecar.wait(), 0)

        idle_client = httpx.Client(base_url=first.http_url())
        self.addCleanup(idle_client.close)
        self.assertEqual(idle_client.get("/livez").status_code, 200)
        stream_threads = [self.start_stream(first) for _ in range(3)]
        first.request_stop()
        first.wait_for_line("shutdown.signal")
        for stream_thread in stream_threads:
            self.assert_complete(stream_thread)
        self.assertEqual(first.wait(), 0)

        interrupted = self.start_stream(second, token_count=20_000)
        second.request_stop()
        second.wait_for_line("shutdown.signal")
        second.send_signal(signal.SIGTERM)
        self.assertEqual(second.wait(), 0)
        interrupted.join(30.0)
        self.assertLess(interrupted.received_token_count, 20_000)

    def test_reclaimed_engine(self):
        gateway = self.deployment.gateways[0]
        engine, sidecar = (
            self.deployment.engines[0],
            self.deployment.sidecars[0],
        )
        stream_threads = []
        while not self.is_running_a_stream(engine, stream_threads):
            stream_threads.append(
                self.start_stream(gateway, token_count=20_000)
            )
        httpx.post(f"{engine.http_url()}/standin/modes", json={"leaving": True})
        sidecar.wait_for_line("sidecar.leaving")
        started_before = self.started_count(engine)
        for _ in range(10):
            response = self.complete(gateway)
            self.assertEqual(response.status_code, 200, response.text)
        self.assertEqual(self.started_count(engine), started_before)
        sidecar.wait_for_line("sidecar.reclaimed")
        ended_threads = [
            stream_thread
            for stream_thread in stream_threads
            if self.has_ended(stream_thread)
        ]
        self.assertTrue(ended_threads)
        for stream_thread in ended_threads:
            self.assertIsNotNone(stream_thread.error)

    def is_running_a_stream(self, engine, stream_threads):
        """Returns whether an engine runs one of the streams."""
        token_counts = httpx.get(f"{engine.http_url()}/standin/shown").json()
        return bool(stream_threads) and any(
            count > 1 for count in token_counts.values()
        )

    def has_ended(self, stream_thread):
        stream_thread.join(2.0)
        return not stream_thread.is_alive()


if __name__ == "__main__":
    unittest.main()
