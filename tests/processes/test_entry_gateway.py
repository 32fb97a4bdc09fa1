"""Tests of a gateway process on an entry VM: drain, reload and failures."""

import concurrent.futures
import itertools
import signal
import time
import unittest

import httpx

from tools import entry_configuration
from tools import entry_deployment
from tools import wait

_CONFIGURATION_TIMEOUT_S = 10.0
# The grace in the gateway's boot file.
_GRACE_S = 8.0


class EntryGatewayTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = entry_deployment.EntryDeployment()
        cls.addClassCleanup(cls.deployment.stop)
        (cls.gateway,) = cls.deployment.gateways
        (cls.call_endpoint,) = cls.deployment.call_endpoints
        (cls.engine,) = cls.deployment.engines
        cls.versions = itertools.count(2)

    def setUp(self):
        self.executor = concurrent.futures.ThreadPoolExecutor(4)
        self.addCleanup(self.executor.shutdown)

    def add_route(self, route_name):
        """Writes a configuration with one additional route."""
        route = entry_configuration.new_route(route_name)
        document = entry_configuration.configuration(next(self.versions), route)
        self.deployment.put_object("config", "main", document)

    def restart_gateway(self):
        """Restarts the gateway after it has exited."""
        self.gateway.process.stop()
        self.gateway.start()
        self.gateway.wait_ready()

    def wait_until_served(self, path):
        """Waits until requests to a path succeed."""
        start_s = time.monotonic()
        wait.until(
            lambda: (
                self.gateway.call("probe", path).status_code == httpx.codes.OK
            )
        )
        self.assertLess(time.monotonic() - start_s, _CONFIGURATION_TIMEOUT_S)

    def test_calls_and_streams_are_served_end_to_end(self):
        response = self.gateway.call("whole-call", body=b"tin")
        self.assertEqual(response.status_code, httpx.codes.OK)
        self.assertEqual(response.content, b"ran tin")
        self.assertEqual(response.headers["bronzeslip-response-stamp"], "stamp")
        stream_response = self.gateway.call(
            "whole-stream", entry_configuration.STREAMS_PATH, b"stream"
        )
        self.assertEqual(stream_response.text.count("data: "), 5)
        self.assertEqual(
            self.call_endpoint.executed_request_ids.count("whole-call"), 1
        )
        self.assertEqual(
            self.engine.executed_request_ids.count("whole-stream"), 1
        )

    def test_metrics_count_served_requests(self):
        self.gateway.call("counted")
        metrics = self.gateway.fetch_metrics()
        self.assertIn('outcome="completed",workspace="w"', metrics)
        self.assertIn("bronzeslip_configuration_number ", metrics)

    def test_drain_completes_calls_and_streams(self):
        self.addCleanup(self.restart_gateway)
        self.call_endpoint.hold()
        self.engine.hold()
        call_future = self.executor.submit(self.gateway.call, "drained-call")
        stream_future = self.executor.submit(
            self.gateway.call,
            "drained-stream",
            entry_configuration.STREAMS_PATH,
            b"stream",
        )
        wait.until(
            lambda: "drained-call" in self.call_endpoint.executed_request_ids
        )
        wait.until(lambda: "drained-stream" in self.engine.executed_request_ids)
        self.gateway.process.send_signal(signal.SIGTERM)
        wait.until(lambda: self.gateway.readiness_status() == 503)
        self.assertIsNone(self.gateway.process.exit_status)
        self.call_endpoint.release()
        self.engine.release()
        self.assertEqual(call_future.result().status_code, httpx.codes.OK)
        self.assertEqual(stream_future.result().text.count("data: "), 5)
        self.assertEqual(self.gateway.process.wait(), 0)
        self.assertEqual(
            self.deployment.object_names("bronzeslip-gateways"), []
        )

    # Guards against cutting a request without a response at the end of the
    # grace, and against passing on one late that would be cut.
    def test_requests_that_outlast_the_grace_are_answered(self):
        self.addCleanup(self.restart_gateway)
        self.addCleanup(self.call_endpoint.release)
        self.call_endpoint.hold()
        running = self.executor.submit(self.gateway.call, "outlasts-grace")
        wait.until(
            lambda: "outlasts-grace" in self.call_endpoint.executed_request_ids
        )
        self.gateway.process.send_signal(signal.SIGTERM)
        signalled_s = time.monotonic()
        wait.until(lambda: self.gateway.readiness_status() == 503)
        late = self.gateway.call("late-in-grace")
        self.assertEqual(late.status_code, httpx.codes.SERVICE_UNAVAILABLE)
        self.assertIn("retry-after", late.headers)
        self.assertEqual(
            running.result().status_code, httpx.codes.GATEWAY_TIMEOUT
        )
        self.assertEqual(self.gateway.process.wait(), 0)
        self.assertLess(time.monotonic() - signalled_s, _GRACE_S)
        self.assertNotIn(
            "late-in-grace", self.call_endpoint.executed_request_ids
        )

    def test_reload_applies_settings(self):
        self.gateway.write_boot_file(retry_slack=7)
        self.gateway.process.send_signal(signal.SIGHUP)
        line = self.gateway.process.wait_for_line("settings.reloaded")
        self.assertIn('"retry_slack":7', line)
        response = self.gateway.call("after-reload")
        self.assertEqual(response.status_code, httpx.codes.OK)

    def test_gateway_serves_while_the_store_is_unavailable(self):
        self.addCleanup(self.deployment.set_store_fault, "none")
        for failure in ("busy", "silent"):
            with self.subTest(failure=failure):
                self.wait_for_source_state("regained")
                self.deployment.set_store_fault(failure)
                self.wait_for_source_state("lost")
                response = self.gateway.call(f"during-{failure}")
                self.assertEqual(response.status_code, httpx.codes.OK)
                self.assertEqual(
                    self.gateway.readiness_status(), httpx.codes.OK
                )
                self.deployment.set_store_fault("none")
                self.add_route(failure)
                self.wait_until_served(f"/{failure}/")

    def wait_for_source_state(self, state):
        """Waits until this is the last logged state of the endpoint source."""

        def is_last_state():
            lines = tuple(self.gateway.process.lines)
            source_lines = [
                line for line in lines if "endpoints.source_" in line
            ]
            return (
                source_lines and f"endpoints.source_{state}" in source_lines[-1]
            )

        wait.until(is_last_state)

    def test_gateway_recovers_from_lost_store_history(self):
        self.add_route("later")
        self.deployment.discard_history()
        self.wait_until_served("/later/")

    def test_killed_gateway_restarts_under_its_registration(self):
        def registered_names():
            return self.deployment.object_names("bronzeslip-gateways")

        wait.until(registered_names)
        self.gateway.process.kill()
        self.restart_gateway()
        response = self.gateway.call("after-kill")
        self.assertEqual(response.status_code, httpx.codes.OK)
        self.assertEqual(registered_names(), ["front-0"])


if __name__ == "__main__":
    unittest.main()
