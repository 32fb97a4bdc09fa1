"""A gateway on an entry VM as a process, through drain, reload and trouble."""

import concurrent.futures
import signal
import time
import unittest

import httpx

from tests.support import entry_deployment

_CONFIGURATION_BOUND_S = 10.0


class EntryGatewayTest(unittest.TestCase):
    def setUp(self):
        self.deployment = entry_deployment.EntryDeployment()
        self.addCleanup(self.deployment.stop)
        self.pool = concurrent.futures.ThreadPoolExecutor(4)
        self.addCleanup(self.pool.shutdown)

    def wait_served(self, path):
        """Waits until a route is in force."""
        deployment = self.deployment
        began_s = time.monotonic()
        deployment.wait(
            lambda: deployment.call("probe", path).status_code == httpx.codes.OK
        )
        self.assertLess(time.monotonic() - began_s, _CONFIGURATION_BOUND_S)

    def test_calls_and_streams_are_served_end_to_end(self):
        answer = self.deployment.call("q1", body=b"tin")
        self.assertEqual(answer.status_code, httpx.codes.OK)
        self.assertEqual(answer.content, b"ran tin")
        self.assertEqual(answer.headers["bronzeslip-response-stamp"], "stamp")
        streamed = self.deployment.call(
            "q2", entry_deployment.STREAMS, b"stream"
        )
        self.assertEqual(streamed.text.count("data: "), 5)
        self.assertEqual(self.deployment.ran(self.deployment.desk), ["q1"])
        self.assertEqual(self.deployment.ran(self.deployment.engine), ["q2"])
        shown = self.deployment.metrics()
        self.assertIn('outcome="completed",workspace="w"', shown)
        self.assertIn("bronzeslip_configuration_number 1", shown)

    def test_drain_lets_calls_and_streams_end(self):
        deployment = self.deployment
        deployment.hold(deployment.desk)
        deployment.hold(deployment.engine)
        call = self.pool.submit(deployment.call, "q1")
        stream = self.pool.submit(
            deployment.call, "q2", entry_deployment.STREAMS, b"stream"
        )
        deployment.wait(lambda: deployment.ran(deployment.desk))
        deployment.wait(lambda: deployment.ran(deployment.engine))
        deployment.gateway.send(signal.SIGTERM)
        deployment.wait(lambda: deployment.readiness() == 503)
        self.assertIsNone(deployment.gateway.exit_status)
        deployment.release(deployment.desk)
        deployment.release(deployment.engine)
        self.assertEqual(call.result().status_code, httpx.codes.OK)
        self.assertEqual(stream.result().text.count("data: "), 5)
        self.assertEqual(deployment.gateway.wait(), 0)
        self.assertEqual(deployment.names("bronzeslip-gateways"), [])

    def test_reload_takes_over_bounds(self):
        deployment = self.deployment
        deployment.write_boot(retry_slack=7)
        deployment.gateway.send(signal.SIGHUP)
        line = deployment.gateway.wait_for_line("settings.reloaded")
        self.assertIn('"retry_slack":7', line)
        self.assertEqual(deployment.call("q1").status_code, httpx.codes.OK)

    def test_gateway_that_the_store_turns_away_goes_on_serving(self):
        for trouble in ("busy", "silent"):
            with self.subTest(trouble=trouble):
                deployment = self.deployment
                deployment.trouble(trouble)
                deployment.gateway.wait_for_line("endpoints.source_lost")
                answer = deployment.call(f"during-{trouble}")
                self.assertEqual(answer.status_code, httpx.codes.OK)
                self.assertEqual(deployment.readiness(), httpx.codes.OK)
                deployment.trouble("none")
                version = 2 if trouble == "busy" else 3
                route = entry_deployment.new_route(trouble)
                deployment.replace(
                    "config",
                    "main",
                    entry_deployment.configuration(version, route),
                )
                self.wait_served(f"/{trouble}/")

    def test_lost_history_is_made_up_for(self):
        deployment = self.deployment
        route = entry_deployment.new_route("later")
        store_url = deployment.store.http_url()
        deployment.replace(
            "config", "main", entry_deployment.configuration(2, route)
        )
        httpx.post(f"{store_url}/standin/forget").raise_for_status()
        self.wait_served("/later/")

    def test_killed_gateway_comes_back_under_its_record(self):
        deployment = self.deployment
        deployment.wait(lambda: deployment.names("bronzeslip-gateways"))
        deployment.gateway.kill()
        deployment.gateway.stop()
        deployment.gateway = deployment.start_gateway()
        deployment.wait(lambda: deployment.readiness() == httpx.codes.OK)
        self.assertEqual(deployment.call("q1").status_code, httpx.codes.OK)
        self.assertEqual(deployment.names("bronzeslip-gateways"), ["front-1"])


if __name__ == "__main__":
    unittest.main()
