"""Tests of bronzeslip.forwarding.chooser.

Many gateways read the same outdated report of each engine. They must not all
send their requests to the same engine.
"""

import collections
import unittest

from bronzeslip.endpoints import report
from bronzeslip.forwarding import errors
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_ENGINES = ("one", "two", "three", "four")
_DRAWS = 400


class ChoiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.components = forwarding_parts.create_components(
            scripted_endpoints.ScriptedEndpointClient({}),
            [forwarding_parts.create_endpoint(name) for name in _ENGINES],
        )
        for name in _ENGINES:
            self._report(name)

    def _report(self, name, **values):
        self.components.reports.put(
            name, forwarding_parts.create_report(**values)
        )

    def _draw(self, request=None):
        request = request or forwarding_parts.admit_generation()
        return collections.Counter(
            self.components.endpoint_chooser.choose(request, set()).endpoint_id
            for _ in range(_DRAWS)
        )

    async def test_equal_engines_are_chosen_about_equally(self):
        counts = self._draw()
        self.assertEqual(len(counts), len(_ENGINES))
        self.assertLess(max(counts.values()), _DRAWS / 2)

    async def test_full_engine_is_avoided(self):
        self._report("one", used_tokens=29_000, running=8)
        self.assertLess(self._draw()["one"], _DRAWS / 100)

    async def test_engine_with_waiting_prompts_is_avoided(self):
        self._report("one", waiting=4)
        self.assertLess(self._draw()["one"], _DRAWS / 20)

    async def test_prompts_in_prefill_count_as_load(self):
        runs = tuple(report.RunReport(f"q{n}", 0, 0) for n in range(6))
        self._report("one", running=6, runs=runs)
        self.assertLess(self._draw()["one"], _DRAWS / 20)

    async def test_requests_sent_since_the_report_count_as_load(self):
        with (
            self.components.in_flight.track("one", 3000, 4000),
            self.components.in_flight.track("one", 3000, 4000),
        ):
            self.assertLess(self._draw()["one"], _DRAWS / 20)

    async def test_failing_engine_is_avoided(self):
        self.components.failures.record_failure("one")
        self.components.failures.record_failure("one")
        self.assertLess(self._draw()["one"], _DRAWS / 100)

    async def test_long_generations_prefer_engines_with_neighbours(self):
        self.components.endpoints.put(
            forwarding_parts.create_endpoint("far", "b-1")
        )
        self._report("far")
        self.assertLess(self._draw()["far"], _DRAWS / 50)

    async def test_calls_slightly_prefer_the_own_failure_domain(self):
        for name, domain in (("d1", "a-1"), ("d2", "b-1")):
            self.components.endpoints.put(
                forwarding_parts.create_endpoint(name, domain, "desk")
            )
        request = forwarding_parts.admit(
            forwarding_parts.create_request(), kind.RequestKind.IDEMPOTENT
        )
        counts = self._draw(request)
        self.assertGreater(counts["d1"], counts["d2"])
        self.assertGreater(counts["d2"], 0)

    async def test_request_that_cannot_start_in_time_is_rejected(self):
        self._draw()
        request = forwarding_parts.admit_generation(timeout_s=1.0)
        for name in _ENGINES[1:]:
            self._report(name, waiting=30)
        self._report("one")
        self.assertEqual(self._draw(request)["one"], _DRAWS)
        self._report("one", waiting=30)
        with self.assertRaises(errors.OverloadedError) as caught:
            self.components.endpoint_chooser.choose(request, set())
        prefill_s = 30 * 3000 / forwarding_parts.SETTINGS.prefill_tokens_per_s
        self.assertAlmostEqual(
            caught.exception.retry_after_s, prefill_s - 1.0, delta=0.5
        )

    async def test_missing_endpoints_raise_not_run_error(self):
        components = forwarding_parts.create_components(
            scripted_endpoints.ScriptedEndpointClient({})
        )
        with self.assertRaises(errors.NotRunError):
            components.endpoint_chooser.choose(
                forwarding_parts.admit_generation(), set()
            )
