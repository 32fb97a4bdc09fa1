"""Tests of the memory that a coordinator sees at an engine."""

import time
import unittest

from bronzeslip import ids
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report
from bronzeslip.endpoints import report_cache
from bronzeslip.forwarding import load_forecast
from bronzeslip.load import placement
from bronzeslip.load import placement_ledger
from bronzeslip.load import placement_need
from bronzeslip.placement import engine_view
from bronzeslip.settings import entry
from tests.support import forwarding_parts

_ENGINE = forwarding_parts.create_endpoint("engine")
_SERVICE = forwarding_parts.ENGINE_SERVICE
_CAPACITY_TOKENS = 20_000


class EngineViewTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        reports = report_cache.ReportCache()
        ledger = placement_ledger.PlacementLedger()
        reports.add_listener(ledger.apply_report)
        forecaster = load_forecast.LoadForecaster(
            entry.EntrySettings(),
            in_flight_requests.InFlightRequests(),
            reports,
            ledger=ledger,
        )
        self.view = engine_view.EngineView(forecaster, reports, ledger)
        placed_s = time.monotonic()
        self.view.add(
            placement.Placement(
                ids.RequestId("run"),
                _ENGINE.endpoint_id,
                3000,
                5000,
                True,
                placed_s,
            )
        )
        reports.put(
            _ENGINE.endpoint_id,
            report.EngineReport(
                waiting=0,
                running=1,
                used_tokens=9000,
                memory_tokens=_CAPACITY_TOKENS,
                held_tokens=6000,
                runs=(report.RunReport(ids.RequestId("run"), 3000, 10),),
            ),
        )

    def free_tokens(self, is_long):
        need = placement_need.PlacementNeed(
            _SERVICE.name, 2000, 2100, 100, is_long
        )
        return self.view.free_tokens(_ENGINE, need, _SERVICE.engine)

    # Guards against requests that wait beside free memory: copies were
    # subtracted twice, as the used memory includes them.
    def test_copies_that_an_engine_holds_count_once(self):
        self.assertEqual(self.free_tokens(is_long=False), 11_000)

    def test_long_generation_leaves_room_for_the_growth_of_others(self):
        self.assertEqual(self.free_tokens(is_long=True), 10_000)


if __name__ == "__main__":
    unittest.main()
