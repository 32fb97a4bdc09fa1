"""A gateway on an entry VM as a process, through drain, reload and trouble."""

import concurrent.futures
import itertools
import signal
import time
import unittest

import httpx

from tools import entry_configuration
from tools import entry_deployment
from tools import wait

_CONFIGURATION_BOUND_S = 10.0


class EntryGatewayTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = entry_deployment.EntryDeployment()
        cls.addClassCleanup(cls.deployment.stop)
        (cls.gateway,) = cls.deployment.gateways
        (cls.desk,) = cls.deployment.call_endpoints
        (cls.engine,) = cls.deployment.engines
        cls.versions = itertools.count(2)

    def setUp(self):
        self.pool = concurrent.futures.ThreadPoolExecutor(4)
        self.addCleanup(self.pool.shutdown)

    def configure(self, route_name):
        """Writes a configuration with one more route."""
        route = entry_configuration.new_route(route_name)
        written = entry_configuration.configuration(next(self.versions), route)
        self.deployment.put_object("config", "main", written)

    def restart(self):
        """Starts a gateway that has ended."""
        self.gateway.process.stop()
        self.gateway.start()
        self.gateway.wait_ready()

    def wait_served(self, path):
        """Waits until a route is in force."""
        began_s = time.monotonic()
        wait.until(
            lambda: (
                self.gateway.call("probe", path).status_code == httpx.codes.OK
            )
        )
        self.assertLess(time.monotonic() - began_s, _CONFIGURATION_BOUND_S)

    def test_calls_and_streams_are_served_end_to_end(self):
        answer = self.gateway.call("whole-call", body=b"tin")
        self.assertEqual(answer.status_code, httpx.codes.OK)
        self.assertEqual(answer.content, b"ran tin")
        self.assertEqual(answer.headers["bronzeslip-response-stamp"], "stamp")
        streamed = self.gateway.call(
            "whole-stream", entry_configuration.STREAMS_PATH, b"stream"
        )
        self.assertEqual(streamed.text.count("data: "), 5)
        self.assertEqual(self.desk.executed_request_ids.count("whole-call"), 1)
        self.assertEqual(
            self.engine.executed_request_ids.count("whole-stream"), 1
        )

    def test_metrics_tell_what_was_served(self):
        self.gateway.call("counted")
        shown = self.gateway.fetch_metrics()
        self.assertIn('outcome="completed",workspace="w"', shown)
        self.assertIn("bronzeslip_configuration_number ", shown)

    def test_drain_lets_calls_and_streams_end(self):
        self.addCleanup(self.restart)
        self.desk.hold()
        self.engine.hold()
        call = self.pool.submit(self.gateway.call, "drained-call")
        stream = self.pool.submit(
            self.gateway.call,
            "drained-stream",
            entry_configuration.STREAMS_PATH,
            b"stream",
        )
        wait.until(lambda: "drained-call" in self.desk.executed_request_ids)
        wait.until(lambda: "drained-stream" in self.engine.executed_request_ids)
        self.gateway.process.send_signal(signal.SIGTERM)
        wait.until(lambda: self.gateway.readiness_status() == 503)
        self.assertIsNone(self.gateway.process.exit_status)
        self.desk.release()
        self.engine.release()
        self.assertEqual(call.result().status_code, httpx.codes.OK)
        self.assertEqual(stream.result().text.count("data: "), 5)
        self.assertEqual(self.gateway.process.wait(), 0)
        self.assertEqual(
            self.deployment.object_names("bronzeslip-gateways"), []
        )

    def test_reload_takes_over_bounds(self):
        self.gateway.write_boot_file(retry_slack=7)
        self.gateway.process.send_signal(signal.SIGHUP)
        line = self.gateway.process.wait_for_line("settings.reloaded")
        self.assertIn('"retry_slack":7', line)
        answer = self.gateway.call("after-reload")
        self.assertEqual(answer.status_code, httpx.codes.OK)

    def test_gateway_that_the_store_turns_away_goes_on_serving(self):
        self.addCleanup(self.deployment.set_store_fault, "none")
        for trouble in ("busy", "silent"):
            with self.subTest(trouble=trouble):
                self.wait_for_source("regained")
                self.deployment.set_store_fault(trouble)
                self.wait_for_source("lost")
                answer = self.gateway.call(f"during-{trouble}")
                self.assertEqual(answer.status_code, httpx.codes.OK)
                self.assertEqual(
                    self.gateway.readiness_status(), httpx.codes.OK
                )
                self.deployment.set_store_fault("none")
                self.configure(trouble)
                self.wait_served(f"/{trouble}/")

    def wait_for_source(self, state):
        """Waits until the gateway last said that of its source of entries."""

        def is_last():
            lines = tuple(self.gateway.process.lines)
            said = [line for line in lines if "endpoints.source_" in line]
            return said and f"endpoints.source_{state}" in said[-1]

        wait.until(is_last)

    def test_lost_history_is_made_up_for(self):
        self.configure("later")
        self.deployment.discard_history()
        self.wait_served("/later/")

    def test_killed_gateway_comes_back_under_its_record(self):
        def names():
            return self.deployment.object_names("bronzeslip-gateways")

        wait.until(names)
        self.gateway.process.kill()
        self.restart()
        answer = self.gateway.call("after-kill")
        self.assertEqual(answer.status_code, httpx.codes.OK)
        self.assertEqual(names(), ["front-0"])


if __name__ == "__main__":
    unittest.main()
