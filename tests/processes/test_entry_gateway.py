"""A gateway on an entry VM as a process, through drain, reload and trouble."""

import concurrent.futures
import signal
import time
import unittest

import httpx

from tools import entry_configuration
from tools import entry_deployment

_CONFIGURATION_BOUND_S = 10.0


class EntryGatewayTest(unittest.TestCase):
    def setUp(self):
        self.deployment = entry_deployment.EntryDeployment()
        self.addCleanup(self.deployment.stop)
        (self.gateway,) = self.deployment.gateways
        (self.desk,) = self.deployment.desks
        (self.engine,) = self.deployment.engines
        self.pool = concurrent.futures.ThreadPoolExecutor(4)
        self.addCleanup(self.pool.shutdown)

    def wait_served(self, path):
        """Waits until a route is in force."""
        began_s = time.monotonic()
        entry_deployment.wait(
            lambda: (
                self.gateway.call("probe", path).status_code == httpx.codes.OK
            )
        )
        self.assertLess(time.monotonic() - began_s, _CONFIGURATION_BOUND_S)

    def test_calls_and_streams_are_served_end_to_end(self):
        answer = self.gateway.call("q1", body=b"tin")
        self.assertEqual(answer.status_code, httpx.codes.OK)
        self.assertEqual(answer.content, b"ran tin")
        self.assertEqual(answer.headers["bronzeslip-response-stamp"], "stamp")
        streamed = self.gateway.call(
            "q2", entry_configuration.STREAMS, b"stream"
        )
        self.assertEqual(streamed.text.count("data: "), 5)
        self.assertEqual(self.desk.runs, ["q1"])
        self.assertEqual(self.engine.runs, ["q2"])
        metrics_port = self.gateway.metrics_port
        shown = httpx.get(f"http://127.0.0.1:{metrics_port}/metrics").text
        self.assertIn('outcome="completed",workspace="w"', shown)
        self.assertIn("bronzeslip_configuration_number 1", shown)

    def test_drain_lets_calls_and_streams_end(self):
        deployment = self.deployment
        self.desk.hold()
        self.engine.hold()
        call = self.pool.submit(self.gateway.call, "q1")
        stream = self.pool.submit(
            self.gateway.call, "q2", entry_configuration.STREAMS, b"stream"
        )
        entry_deployment.wait(lambda: self.desk.runs)
        entry_deployment.wait(lambda: self.engine.runs)
        self.gateway.process.send(signal.SIGTERM)
        entry_deployment.wait(lambda: self.gateway.readiness() == 503)
        self.assertIsNone(self.gateway.process.exit_status)
        self.desk.release()
        self.engine.release()
        self.assertEqual(call.result().status_code, httpx.codes.OK)
        self.assertEqual(stream.result().text.count("data: "), 5)
        self.assertEqual(self.gateway.process.wait(), 0)
        self.assertEqual(deployment.names("bronzeslip-gateways"), [])

    def test_reload_takes_over_bounds(self):
        self.gateway.write_boot(retry_slack=7)
        self.gateway.process.send(signal.SIGHUP)
        line = self.gateway.process.wait_for_line("settings.reloaded")
        self.assertIn('"retry_slack":7', line)
        self.assertEqual(self.gateway.call("q1").status_code, httpx.codes.OK)

    def test_gateway_that_the_store_turns_away_goes_on_serving(self):
        for trouble in ("busy", "silent"):
            with self.subTest(trouble=trouble):
                deployment = self.deployment
                deployment.trouble(trouble)
                self.gateway.process.wait_for_line("endpoints.source_lost")
                answer = self.gateway.call(f"during-{trouble}")
                self.assertEqual(answer.status_code, httpx.codes.OK)
                self.assertEqual(self.gateway.readiness(), httpx.codes.OK)
                deployment.trouble("none")
                version = 2 if trouble == "busy" else 3
                route = entry_configuration.new_route(trouble)
                deployment.write(
                    "config",
                    "main",
                    entry_configuration.configuration(version, route),
                )
                self.wait_served(f"/{trouble}/")

    def test_lost_history_is_made_up_for(self):
        deployment = self.deployment
        route = entry_configuration.new_route("later")
        deployment.write(
            "config", "main", entry_configuration.configuration(2, route)
        )
        deployment.forget_history()
        self.wait_served("/later/")

    def test_killed_gateway_comes_back_under_its_record(self):
        deployment = self.deployment
        entry_deployment.wait(lambda: deployment.names("bronzeslip-gateways"))
        self.gateway.process.kill()
        self.gateway.process.stop()
        self.gateway.start()
        self.gateway.wait_ready()
        self.assertEqual(self.gateway.call("q1").status_code, httpx.codes.OK)
        self.assertEqual(deployment.names("bronzeslip-gateways"), ["front-0"])


if __name__ == "__main__":
    unittest.main()
