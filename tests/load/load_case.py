"""Gateway whose choices are tested without network."""

import asyncio
import unittest

from bronzeslip.endpoints import report
from bronzeslip.load import load_statement
from bronzeslip.load import placement
from tests.support import forwarding_parts
from tests.support import scripted_endpoints


class LoadCase(unittest.IsolatedAsyncioTestCase):
    """Has two engines and two plain endpoints, "one" and "two" of each."""

    async def asyncSetUp(self):
        self.engines = [
            forwarding_parts.create_endpoint(name) for name in ("one", "two")
        ]
        self.desks = [
            forwarding_parts.create_endpoint(name, service_name="desk")
            for name in ("desk-one", "desk-two")
        ]
        self.components = forwarding_parts.create_components(
            scripted_endpoints.ScriptedEndpointClient({}),
            [*self.engines, *self.desks],
        )
        self.forecaster = self.components.load_forecaster
        self.request = forwarding_parts.admit_generation()

    def now_s(self):
        return asyncio.get_running_loop().time()

    def state(self, target, pace, running=0, waiting=0, age_s=0.0):
        self.components.endpoints.load_statements.state(
            target,
            load_statement.LoadStatement(
                running, waiting, target.slots, pace, self.now_s() - age_s
            ),
        )

    def report(self, *running, waiting=0):
        self.components.reports.put(
            "one",
            forwarding_parts.create_report(
                waiting=waiting,
                running=len(running),
                runs=tuple(report.RunReport(name, 9, 1) for name in running),
            ),
        )

    def place(self, request_id, endpoint_id="one", age_s=0.0):
        self.components.placement_ledger.add(
            placement.Placement(
                request_id, endpoint_id, 700, 1400, False, self.now_s() - age_s
            )
        )

    def track(self, request_id, endpoint_id="one"):
        return self.components.in_flight.track(
            endpoint_id, 700, 1400, request_id=request_id
        )

    def forecast(self):
        """Returns the forecast of engine "one"."""
        return self.forecaster.forecast(self.engines[0], self.request)

    def engine_costs_s(self):
        cost_s = self.components.endpoint_chooser.cost_s
        return [cost_s(engine, self.request) for engine in self.engines]

    def requests_at_one(self):
        """Returns the number of requests that are counted at engine "one"."""
        return round(self.forecast().slot_load * self.engines[0].slots) - 1
