"""Tests of evacuations, allowed regions and cold endpoints with processes."""

import asyncio
import itertools
import random
import time
import unittest

import httpx

from tools import entry_configuration
from tools import entry_deployment
from tools import wait
from tools.soak import caller
from tools.soak import endpoint_record

_BOUNDS = "[bounds]\nevac_ms = 5000\ncold_over = 1.5\ncold_slack = 5"
# Longer than the calls, so that no endpoint becomes warm meanwhile.
_COLD_S = 20.0
# Time in which all gateways learn of an endpoint that has restarted.
_CONTACT_S = 2.0
_CALLED_S = 8.0
_CALLERS = 30


def _set_bounds(gateway):
    """Restarts a gateway with the bounds of this test."""
    boot_path = gateway.boot_path
    boot_path.write_text(boot_path.read_text().replace("[bounds]", _BOUNDS))
    gateway.process.stop()
    gateway.start()


class PlacesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = entry_deployment.EntryDeployment()
        cls.addClassCleanup(cls.deployment.stop)
        (cls.gateway,) = cls.deployment.gateways
        _set_bounds(cls.gateway)
        cls.versions = itertools.count(2)

    def setUp(self):
        self._restart_gateway()
        self.addCleanup(self.deployment.remove_object, "evacuations", "a-1")

    def _restart_gateway(self):
        self.gateway.process.stop()
        self.gateway.start()
        self.gateway.wait_ready()

    def _call(self, path=entry_configuration.CALLS_PATH):
        return self.gateway.call("probe", path)

    def _wait_for_status(self, status, path=entry_configuration.CALLS_PATH):
        wait.until(lambda: self._call(path).status_code == status)

    def test_evacuation_holds_until_its_object_is_removed(self):
        self._wait_for_status(httpx.codes.OK)
        self.deployment.put_object("evacuations", "a-1", {})
        self._wait_for_status(httpx.codes.SERVICE_UNAVAILABLE)
        response = self._call(entry_configuration.STREAMS_PATH)
        self.assertEqual(response.status_code, httpx.codes.SERVICE_UNAVAILABLE)
        self.assertGreater(float(response.headers["retry-after"]), 0)
        self.deployment.remove_object("evacuations", "a-1")
        self._wait_for_status(httpx.codes.OK)

    # Guards against a gateway that serves before it knows of an evacuation.
    def test_restarted_gateway_knows_the_evacuation_when_it_is_ready(self):
        self.deployment.put_object("evacuations", "a-1", {"any": ["thing"]})
        self._restart_gateway()
        self.assertEqual(
            self._call().status_code, httpx.codes.SERVICE_UNAVAILABLE
        )

    # Guards against an evacuation that is written while the store is away.
    def test_evacuation_written_during_an_outage_applies_after_it(self):
        self.gateway.proxy.stall()
        self.addCleanup(self.gateway.proxy.resume)
        self.gateway.process.wait_for_line('"endpoints.source_lost"')
        self.deployment.put_object("evacuations", "a-1", {})
        self.assertEqual(self._call().status_code, httpx.codes.OK)
        self.gateway.proxy.resume()
        self._wait_for_status(httpx.codes.SERVICE_UNAVAILABLE)

    def test_routes_restricted_to_another_region_are_refused_at_once(self):
        for region, status in (
            ("b", httpx.codes.SERVICE_UNAVAILABLE),
            ("a", httpx.codes.OK),
        ):
            version = next(self.versions)
            route = entry_configuration.new_route(f"only-{region}")
            route["allowed_regions"] = [region]
            self.deployment.put_object(
                "config",
                "main",
                entry_configuration.configuration(version, route),
            )
            self._wait_for_status(status, f"/only-{region}/")


class ColdEndpointTest(unittest.TestCase):
    def setUp(self):
        self.deployment = entry_deployment.EntryDeployment(3)
        self.addCleanup(self.deployment.stop)
        (self.endpoint,) = self.deployment.call_endpoints
        for gateway in self.deployment.gateways:
            _set_bounds(gateway)
        for gateway in self.deployment.gateways:
            gateway.wait_ready()
            gateway.process.wait_for_line('"gateways.counted"')

    def _start_endpoint(self, version, cold_per_s):
        document = entry_configuration.configuration(version)
        document["services"][0] |= {"cold_s": _COLD_S, "cold_per_s": cold_per_s}
        self.deployment.put_object("config", "main", document)
        time.sleep(_CONTACT_S)
        self.endpoint.restart()
        self.deployment.register(self.endpoint)
        time.sleep(_CONTACT_S)

    def _call_for(self, duration_s):
        async def call():
            stop = asyncio.Event()
            callers = caller.Callers(
                self.deployment.gateways, random.Random(5), time.monotonic()
            )
            calling = asyncio.create_task(callers.run(_CALLERS, stop))
            await asyncio.sleep(duration_s)
            stop.set()
            await calling

        asyncio.run(call())

    def _arrivals_s(self):
        record = endpoint_record.parse(
            self.endpoint.endpoint_id,
            self.endpoint.service,
            self.endpoint.incarnation_lines[-1],
        )
        return [arrival.time_s for arrival in record.arrivals]

    # Each gateway sent what it liked to an endpoint that had just started.
    # Shares are whole with 6 requests per second, permits are needed with 2.
    def test_limit_holds_for_all_gateways_together(self):
        for version, cold_per_s in ((2, 6), (3, 2)):
            with self.subTest(cold_per_s=cold_per_s):
                self._start_endpoint(version, cold_per_s)
                self._call_for(_CALLED_S)
                arrivals_s = self._arrivals_s()
                worst = max(
                    sum(
                        first_s <= time_s < first_s + 1 for time_s in arrivals_s
                    )
                    for first_s in arrivals_s
                )
                self.assertLessEqual(worst, 1.5 * cold_per_s + 5)
                self.assertGreaterEqual(len(arrivals_s), cold_per_s)


if __name__ == "__main__":
    unittest.main()
