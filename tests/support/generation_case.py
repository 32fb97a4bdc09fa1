"""Base class of tests of generations in a deployment of processes."""

import dataclasses
import signal
import threading
import time
import unittest

import httpx

from tests.support import caller_stream
from tools import local_deployment
from tools import shapes

SHAPE = dataclasses.replace(shapes.MIDLANDS, engine_count=2, plain_count=0)
TOKEN_COUNT = 40
_HOLD_AT_TOKENS = 10
_WAIT_TIMEOUT_S = 20.0
_PEER_FLAGS = (
    "--heartbeat-interval-s=0.1",
    "--peer-silence-timeout-s=0.5",
)


class GenerationCase(unittest.TestCase):
    """Starts a deployment whose engines can hold streams at a token."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = local_deployment.LocalDeployment(
            SHAPE,
            engine_flags=("--step-base-s=0.004",),
            sidecar_flags=(
                *_PEER_FLAGS,
                "--engine-silence-timeout-s=0.3",
                "--engine-loss-timeout-s=2",
                "--orphan-timeout-s=2",
            ),
            gateway_flags=(
                *_PEER_FLAGS,
                "--resume-timeout-s=2",
                "--caller-stall-timeout-s=0.5",
            ),
        )
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()

    def setUp(self):
        self.prompt = f"{self._testMethodName} #length={TOKEN_COUNT}"
        self.addCleanup(self.hold_streams, None)

    def hold_streams(self, token_count):
        """Has every engine hold streams at a token; None releases them."""
        for engine in self.deployment.engines:
            if engine.exit_status is None:
                httpx.post(
                    f"{engine.http_url()}/standin/modes",
                    json={"hold_at_tokens": token_count},
                )

    def open_stream(self, prompt=None, gateway=0, last_event_id=None):
        stream = caller_stream.CallerStream(
            self.deployment.gateways[gateway].http_url(),
            "smiths",
            SHAPE.model,
            prompt or self.prompt,
            last_event_id,
        )
        self.addCleanup(stream.close)
        return stream

    def open_held_stream(self, prompt=None):
        """Opens a stream and reads up to the token at which it is held."""
        self.hold_streams(_HOLD_AT_TOKENS)
        stream = self.open_stream(prompt)
        stream.read_until(_HOLD_AT_TOKENS)
        return stream

    def request_completion(self, responses):
        """Requests a completion without streaming; appends the response."""
        responses.append(
            httpx.post(
                f"{self.deployment.gateways[0].http_url()}/v1/completions",
                headers=local_deployment.caller_headers("smiths"),
                json={"model": SHAPE.model, "prompt": self.prompt},
                timeout=_WAIT_TIMEOUT_S,
            )
        )

    def start_held_completion(self):
        """Requests a completion and waits until an engine holds it.

        Returns:
            The index of the engine, the thread that sends the request, and the
            list that receives the response.
        """
        earlier_ids = {
            id_ for ids in self.engine_reports("shown") for id_ in ids
        }
        self.hold_streams(_HOLD_AT_TOKENS)
        responses = []
        request_thread = threading.Thread(
            target=self.request_completion, args=(responses,)
        )
        request_thread.start()
        self.addCleanup(request_thread.join)

        def find_held_engine():
            for index, token_counts in enumerate(self.engine_reports("shown")):
                for generation_id, count in token_counts.items():
                    if (
                        generation_id not in earlier_ids
                        and count == _HOLD_AT_TOKENS
                    ):
                        return index + 1
            return 0

        index = self.wait_for(find_held_engine) - 1
        return index, request_thread, responses

    def engine_reports(self, name):
        """Fetches a report from each engine stand-in."""
        return [
            httpx.get(f"{engine.http_url()}/standin/{name}").json()
            for engine in self.deployment.engines
        ]

    def wait_for(self, condition):
        """Polls until a condition returns a true value; returns that value."""
        end_s = time.monotonic() + _WAIT_TIMEOUT_S
        while not (result := condition()):
            self.assertLess(time.monotonic(), end_s)
            time.sleep(0.02)
        return result

    def engine_index_of(self, stream):
        """Returns the index of the engine that generates a stream."""
        run_prefix = stream.tokens[0].split(".")[1].split("-")[0]
        for index, run_names in enumerate(self.engine_reports("started")):
            if any(name.startswith(run_prefix) for name in run_names):
                return index
        return self.fail("no engine has started the generation")

    def wait_until_cancelled(self, stream):
        """Waits until an engine is told to cancel the run of a stream."""
        run_prefix = stream.tokens[0].split(".")[1].split("-")[0]
        self.wait_for(
            lambda: any(
                name.startswith(run_prefix)
                for names in self.engine_reports("cancelled")
                for name in names
            )
        )

    def restart_endpoint(self, index):
        """Restarts an engine and its sidecar."""
        deployment = self.deployment
        deployment.sidecars[index].kill()
        deployment.engines[index].kill()
        deployment.sidecars[index].stop()
        deployment.engines[index].stop()
        deployment.engines[index] = deployment.start_engine()
        deployment.sidecars[index] = deployment.start_sidecar(
            f"{SHAPE.engine_pool}-{index}",
            SHAPE.engine_pool,
            deployment.engines[index],
            index,
        )
        deployment.sidecars[index].peer_port()

    def assert_all_tokens(self, tokens, token_count=TOKEN_COUNT):
        runs = {token.split("-")[0] for token in tokens}
        self.assertEqual(len(runs), 1)
        indexes = [int(token.split("-")[1]) for token in tokens]
        self.assertEqual(indexes, list(range(token_count)))

    def assert_incomplete(self, stream):
        self.assertEqual(stream.error["code"], "incomplete")
        self.assertFalse(stream.is_complete)
        indexes = [int(token.split("-")[1]) for token in stream.tokens]
        self.assertEqual(indexes, list(range(_HOLD_AT_TOKENS)))

    def assert_completion_rerun(self, request_thread, responses):
        self.hold_streams(None)
        request_thread.join()
        self.assertEqual(responses[0].status_code, httpx.codes.OK)
        self.assert_all_tokens(
            responses[0].json()["choices"][0]["text"].split()
        )

    def pause_until_noticed(self, process, observer, text):
        """Pauses a process until another one logs a text."""
        line_count = len(observer.lines)
        process.send_signal(signal.SIGSTOP)
        self.addCleanup(process.send_signal, signal.SIGCONT)
        self.wait_for(
            lambda: any(text in line for line in observer.lines[line_count:])
        )
        process.send_signal(signal.SIGCONT)

    def assert_stream_completes(self, stream):
        self.hold_streams(None)
        stream.read_to_end()
        self.assertTrue(stream.is_complete)
        self.assert_all_tokens(stream.tokens)
