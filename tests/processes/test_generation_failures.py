"""Tests of generations while processes are killed or paused."""

import unittest

from tests.support import generation_case


class GenerationFailuresTest(generation_case.GenerationCase):
    def test_stream_resumes_after_a_paused_sidecar(self):
        stream = self.open_held_stream()
        sidecar = self.deployment.sidecars[self.engine_index_of(stream)]
        self.pause_until_noticed(
            sidecar, self.deployment.gateways[0], "connection-lost"
        )
        self.assert_stream_completes(stream)

    def test_stream_resumes_after_a_paused_gateway(self):
        stream = self.open_held_stream()
        sidecar = self.deployment.sidecars[self.engine_index_of(stream)]
        self.pause_until_noticed(
            self.deployment.gateways[0], sidecar, "peer.session_lost"
        )
        self.assert_stream_completes(stream)

    def test_killed_sidecar_ends_a_stream_as_incomplete(self):
        stream = self.open_held_stream()
        index = self.engine_index_of(stream)
        self.addCleanup(self.restart_endpoint, index)
        self.deployment.sidecars[index].kill()
        stream.read_to_end()
        self.assert_incomplete(stream)

    def test_killed_sidecar_reruns_a_completion(self):
        index, request_thread, responses = self.start_held_completion()
        self.addCleanup(self.restart_endpoint, index)
        self.deployment.sidecars[index].kill()
        self.assert_completion_rerun(request_thread, responses)

    def test_stream_resumes_after_a_paused_engine(self):
        stream = self.open_held_stream()
        index = self.engine_index_of(stream)
        engine = self.deployment.engines[index]
        self.pause_until_noticed(
            engine, self.deployment.sidecars[index], "stream_lost"
        )
        self.assert_stream_completes(stream)

    def test_killed_engine_ends_a_stream_as_incomplete(self):
        stream = self.open_held_stream()
        index = self.engine_index_of(stream)
        self.addCleanup(self.restart_endpoint, index)
        self.deployment.engines[index].kill()
        stream.read_to_end()
        self.assert_incomplete(stream)

    def test_killed_engine_reruns_a_completion(self):
        index, request_thread, responses = self.start_held_completion()
        self.addCleanup(self.restart_endpoint, index)
        self.deployment.engines[index].kill()
        self.assert_completion_rerun(request_thread, responses)

    def test_stream_of_a_killed_gateway_resumes_at_another(self):
        stream = self.open_held_stream()
        self.kill_gateway()
        stream.read_to_end()
        self.assertFalse(stream.is_complete)
        resumed = self.open_stream(
            gateway=1, last_event_id=stream.last_event_id
        )
        self.hold_streams(None)
        resumed.read_to_end()
        self.assertTrue(resumed.is_complete)
        self.assert_all_tokens(stream.tokens + resumed.tokens)
        self.assertEqual(stream.completion_ids, resumed.completion_ids)

    def test_generation_orphaned_by_a_killed_gateway_is_cancelled(self):
        stream = self.open_held_stream()
        self.kill_gateway()
        self.wait_until_cancelled(stream)
        self.hold_streams(None)
        resumed = self.open_stream(
            gateway=1, last_event_id=stream.last_event_id
        )
        resumed.read_to_end()
        self.assertFalse(resumed.is_complete)
        self.assertEqual(resumed.error["code"], "incomplete")

    def kill_gateway(self):
        """Kills the first gateway and restarts it after the test."""
        deployment = self.deployment
        deployment.gateways[0].kill()
        deployment.gateways[0].stop()

        def restart():
            deployment.gateways[0] = deployment.start_gateway(0)
            deployment.wait_ready()

        self.addCleanup(restart)


if __name__ == "__main__":
    unittest.main()
