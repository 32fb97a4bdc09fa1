"""Tests of load forecasts after prompts that fit into no engine."""

import unittest

from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report_cache
from bronzeslip.forwarding import load_forecast
from bronzeslip.forwarding import prompt
from bronzeslip.forwarding import run_load
from bronzeslip.routes import kind
from tests.support import forwarding_parts

_HUGE_TOKENS = 2**53


class HugePromptTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.engine = forwarding_parts.create_endpoint("i-1")
        self.in_flight = in_flight_requests.InFlightRequests()
        self.reports = report_cache.ReportCache()
        self.forecaster = load_forecast.LoadForecaster(
            forwarding_parts.SETTINGS, self.in_flight, self.reports
        )

    def _admit_huge(self):
        shape = prompt.PromptShape("m", _HUGE_TOKENS, 5)
        return forwarding_parts.admit(
            forwarding_parts.create_request(shape=shape),
            kind.RequestKind.STREAM,
            forwarding_parts.ENGINE_SERVICE,
        )

    def _check_accepted(self):
        """Checks that the forecast does not exceed the time of a request."""
        request = forwarding_parts.admit_generation()
        forecast = self.forecaster.forecast(self.engine, request)
        self.assertLess(forecast.prefill_s, request.remaining_s)

    # Guards against one caller whose stated prompt length made gateways reject
    # the generations of all callers whenever an engine had a queue.
    async def test_huge_prompt_does_not_dominate_the_mean_length(self):
        self.forecaster.record_prompt_length(self._admit_huge())
        self.reports.put(
            self.engine.endpoint_id, forwarding_parts.create_report(waiting=1)
        )
        self._check_accepted()

    async def test_huge_prompt_in_flight_does_not_block_its_engine(self):
        load = run_load.RunLoad(self.in_flight, self._admit_huge())
        load.register(self.engine, has_copy=False)
        self.addCleanup(load.close)
        self._check_accepted()


if __name__ == "__main__":
    unittest.main()
