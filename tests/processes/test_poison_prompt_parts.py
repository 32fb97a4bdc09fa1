"""Tests of prompts with a part that crashes engines, as processes."""

import itertools
import unittest

import httpx

from tools import entry_configuration
from tools import entry_deployment
from tools import wait

_STREAMS_PATH = entry_configuration.STREAMS_PATH
_PREAMBLE = "preamble"
_POISON = "poison-1"
_ENGINES = 8
# Five crashes may happen before no more than three requests reach engines.
_MAX_CRASHES = 8


class PoisonPromptPartTest(unittest.TestCase):
    def setUp(self):
        self.deployment = entry_deployment.EntryDeployment(
            2, _ENGINES, has_endpoint_proxies=False
        )
        self.addCleanup(self.deployment.stop)
        self.numbers = itertools.count()

    def _status(self, gateway, *parts):
        request_id = f"q-{next(self.numbers)}"
        response = gateway.call(
            request_id, _STREAMS_PATH, b"stream " + request_id.encode(), parts
        )
        return response.status_code

    def _restart_crashed_engines(self):
        crashed = [
            engine
            for engine in self.deployment.engines
            if engine.process.exit_status is not None
        ]
        for engine in crashed:
            engine.restart()
            self.deployment.register(engine)
        return len(crashed)

    # Guards against requests that crash engine after engine because no two of
    # them are alike (BUDGET).
    def test_all_gateways_refuse_prompts_that_share_a_poison_part(self):
        for gateway in self.deployment.gateways:
            self.assertEqual(
                self._status(gateway, _PREAMBLE, "session"), httpx.codes.OK
            )
        crashes = 0

        def are_refused():
            nonlocal crashes
            statuses = [
                self._status(gateway, _PREAMBLE, "session", _POISON)
                for gateway in self.deployment.gateways
            ]
            crashes += self._restart_crashed_engines()
            return statuses == [httpx.codes.SERVICE_UNAVAILABLE] * 2

        for _ in range(5):
            wait.until(are_refused)
        self.assertLessEqual(crashes, _MAX_CRASHES)
        for gateway in self.deployment.gateways:
            for parts in ((_PREAMBLE, "session"), (_PREAMBLE, "other")):
                self.assertEqual(self._status(gateway, *parts), httpx.codes.OK)


if __name__ == "__main__":
    unittest.main()
