"""Generations of a deployment of processes."""

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
LENGTH = 40
_HOLD = 10
_WAIT_TIMEOUT_S = 20.0
_LINK_FLAGS = (
    "--heartbeat-interval-s=0.1",
    "--peer-silence-timeout-s=0.5",
)


class GenerationCase(unittest.TestCase):
    """Has a deployment whose engines hold streams at a token when told."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = local_deployment.LocalDeployment(
            SHAPE,
            engine_flags=("--step-base-s=0.004",),
            sidecar_flags=(
                *_LINK_FLAGS,
                "--engine-silence-timeout-s=0.3",
                "--engine-loss-timeout-s=2",
                "--orphan-timeout-s=2",
            ),
            gateway_flags=(
                *_LINK_FLAGS,
                "--resume-timeout-s=2",
                "--caller-stall-timeout-s=0.5",
            ),
        )
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()

    def setUp(self):
        self.prompt = f"{self._testMethodName} #length={LENGTH}"
        self.addCleanup(self.hold, None)

    def hold(self, tokens):
        """Holds every engine's streams at a token, or lets them go."""
        for engine in self.deployment.engines:
            if engine.exit_status is None:
                httpx.post(
                    f"{engine.http_url()}/standin/modes",
                    json={"hold_at_tokens": tokens},
                )

    def stream(self, prompt=None, gateway=0, last_event_id=None):
        opened = caller_stream.CallerStream(
            self.deployment.gateways[gateway].http_url(),
            "smiths",
            SHAPE.model,
            prompt or self.prompt,
            last_event_id,
        )
        self.addCleanup(opened.close)
        return opened

    def held_stream(self, prompt=None):
        """Opens a stream and reads it up to the token it is held at."""
        self.hold(_HOLD)
        opened = self.stream(prompt)
        opened.read_until(_HOLD)
        return opened

    def whole(self, answers):
        """Asks for a whole answer and keeps it."""
        answers.append(
            httpx.post(
                f"{self.deployment.gateways[0].http_url()}/v1/completions",
                headers=local_deployment.caller_headers("smiths"),
                json={"model": SHAPE.model, "prompt": self.prompt},
                timeout=_WAIT_TIMEOUT_S,
            )
        )

    def held_whole(self):
        """Asks for a whole answer and waits until its engine holds it."""
        before = {id_ for ids in self.reported("shown") for id_ in ids}
        self.hold(_HOLD)
        answers = []
        asking = threading.Thread(target=self.whole, args=(answers,))
        asking.start()
        self.addCleanup(asking.join)

        def held():
            for index, shown in enumerate(self.reported("shown")):
                for generation_id, count in shown.items():
                    if generation_id not in before and count == _HOLD:
                        return index + 1
            return 0

        index = self.wait_for(held) - 1
        return index, asking, answers

    def reported(self, name):
        """Asks each engine stand-in for a report."""
        return [
            httpx.get(f"{engine.http_url()}/standin/{name}").json()
            for engine in self.deployment.engines
        ]

    def wait_for(self, condition):
        """Asks until a condition holds and returns what it returned."""
        end_s = time.monotonic() + _WAIT_TIMEOUT_S
        while not (result := condition()):
            self.assertLess(time.monotonic(), end_s)
            time.sleep(0.02)
        return result

    def index_of(self, opened):
        """Finds the engine that a stream's tokens come from."""
        mark = opened.words[0].split(".")[1].split("-")[0]
        for index, started in enumerate(self.reported("started")):
            if any(name.startswith(mark) for name in started):
                return index
        return self.fail("no engine has started it")

    def wait_cancelled(self, opened):
        """Waits until an engine was told to cancel a stream's run."""
        mark = opened.words[0].split(".")[1].split("-")[0]
        self.wait_for(
            lambda: any(
                name.startswith(mark)
                for names in self.reported("cancelled")
                for name in names
            )
        )

    def replace(self, index):
        """Starts an endpoint and its sidecar anew."""
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

    def assert_whole(self, words, length=LENGTH):
        runs = {word.split("-")[0] for word in words}
        self.assertEqual(len(runs), 1)
        indexes = [int(word.split("-")[1]) for word in words]
        self.assertEqual(indexes, list(range(length)))

    def assert_incomplete(self, opened):
        self.assertEqual(opened.error["code"], "incomplete")
        self.assertFalse(opened.is_whole)
        indexes = [int(word.split("-")[1]) for word in opened.words]
        self.assertEqual(indexes, list(range(_HOLD)))

    def assert_rerun(self, asking, answers):
        self.hold(None)
        asking.join()
        self.assertEqual(answers[0].status_code, httpx.codes.OK)
        self.assert_whole(answers[0].json()["choices"][0]["text"].split())

    def pause(self, process, watched, text):
        """Pauses a process until another one notices."""
        seen = len(watched.lines)
        process.send_signal(signal.SIGSTOP)
        self.addCleanup(process.send_signal, signal.SIGCONT)
        self.wait_for(
            lambda: any(text in line for line in watched.lines[seen:])
        )
        process.send_signal(signal.SIGCONT)

    def assert_goes_on(self, opened):
        self.hold(None)
        opened.read_rest()
        self.assertTrue(opened.is_whole)
        self.assert_whole(opened.words)
