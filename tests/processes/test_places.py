"""Tests of evacuations and allowed regions with processes."""

import itertools
import unittest

import httpx

from tools import entry_configuration
from tools import entry_deployment
from tools import wait

_BOUNDS = "[bounds]\nevac_ms = 5000"


class PlacesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = entry_deployment.EntryDeployment()
        cls.addClassCleanup(cls.deployment.stop)
        (cls.gateway,) = cls.deployment.gateways
        boot_path = cls.gateway.boot_path
        boot_path.write_text(boot_path.read_text().replace("[bounds]", _BOUNDS))
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


if __name__ == "__main__":
    unittest.main()
