"""Tests of bronzeslip.forwarding.load_forecast for placed generations.

A report shows which generations have not begun to generate. Their prompts are
those that were placed, however much they differ from the mean.
"""

import asyncio
import unittest

from bronzeslip import ids
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report
from bronzeslip.endpoints import report_cache
from bronzeslip.forwarding import load_forecast
from bronzeslip.load import placement
from bronzeslip.load import placement_ledger
from bronzeslip.load import placement_need
from tests.support import forwarding_parts
from tests.support import virtual_loop

_PROMPT_TOKENS = 20_000
# Beside decoding, an engine processes half of 14,000 tokens per second, for
# the half second that a report is old.
_PROCESSED_TOKENS = 3_500
_RATE_PER_S = 7_000


class RunningGenerationsTest(unittest.TestCase):
    def _queued_s(self, memory_tokens):
        """Returns the forecast queue behind one run with a long prompt."""

        async def play():
            now = asyncio.get_running_loop().time
            reports = report_cache.ReportCache()
            ledger = placement_ledger.PlacementLedger(now)
            forecaster = load_forecast.LoadForecaster(
                forwarding_parts.SETTINGS,
                in_flight_requests.InFlightRequests(),
                reports,
                ledger=ledger,
                clock=now,
            )
            engine = forwarding_parts.create_endpoint("one")
            for number, tokens in enumerate((10, 10, 10, _PROMPT_TOKENS)):
                placed = placement.Placement(
                    ids.RequestId(f"q{number}"),
                    engine.endpoint_id,
                    tokens,
                    tokens,
                    True,
                    now(),
                )
                ledger.add(placed)
                forecaster.placed_requests.add(placed)
            await asyncio.sleep(1.0)
            run = report.RunReport(ids.RequestId("q3"), memory_tokens, 0)
            reports.add_listener(ledger.apply_report)
            reports.put(
                engine.endpoint_id,
                forwarding_parts.create_report(running=1, runs=(run,)),
            )
            need = placement_need.PlacementNeed(
                engine.service_name, 100, 200, 100, True
            )
            return forecaster.forecast_need(
                engine, need, forwarding_parts.ENGINE_TRAITS
            ).prefill_s

        return virtual_loop.run(play())

    def test_prompt_counts_with_its_size_less_its_progress(self):
        for memory_tokens, left_tokens in (
            (0, _PROMPT_TOKENS),
            (5_000, 15_000),
            # Reserved at the start, so that the progress is not known.
            (_PROMPT_TOKENS, _PROMPT_TOKENS / 2),
        ):
            with self.subTest(memory_tokens=memory_tokens):
                self.assertAlmostEqual(
                    self._queued_s(memory_tokens),
                    (left_tokens - _PROCESSED_TOKENS) / _RATE_PER_S,
                    delta=0.01,
                )


if __name__ == "__main__":
    unittest.main()
