"""Generations while processes are killed, paused and cut off."""

import unittest

from tests.support import generation_case


class GenerationFailuresTest(generation_case.GenerationCase):
    def test_paused_sidecar_is_resumed(self):
        opened = self.held_stream()
        sidecar = self.deployment.sidecars[self.index_of(opened)]
        self.pause(sidecar, self.deployment.gateways[0], "connection-lost")
        self.assert_goes_on(opened)

    def test_paused_gateway_resumes(self):
        opened = self.held_stream()
        sidecar = self.deployment.sidecars[self.index_of(opened)]
        self.pause(self.deployment.gateways[0], sidecar, "peer.session_lost")
        self.assert_goes_on(opened)

    def test_killed_sidecar_ends_a_stream_as_incomplete(self):
        opened = self.held_stream()
        index = self.index_of(opened)
        self.addCleanup(self.replace, index)
        self.deployment.sidecars[index].kill()
        opened.read_rest()
        self.assert_incomplete(opened)

    def test_killed_sidecar_reruns_a_whole_answer(self):
        index, asking, answers = self.held_whole()
        self.addCleanup(self.replace, index)
        self.deployment.sidecars[index].kill()
        self.assert_rerun(asking, answers)

    def test_paused_engine_is_resumed(self):
        opened = self.held_stream()
        index = self.index_of(opened)
        engine = self.deployment.engines[index]
        self.pause(engine, self.deployment.sidecars[index], "stream_lost")
        self.assert_goes_on(opened)

    def test_killed_engine_ends_a_stream_as_incomplete(self):
        opened = self.held_stream()
        index = self.index_of(opened)
        self.addCleanup(self.replace, index)
        self.deployment.engines[index].kill()
        opened.read_rest()
        self.assert_incomplete(opened)

    def test_killed_engine_reruns_a_whole_answer(self):
        index, asking, answers = self.held_whole()
        self.addCleanup(self.replace, index)
        self.deployment.engines[index].kill()
        self.assert_rerun(asking, answers)

    def test_killed_gateway_is_resumed_at_another(self):
        opened = self.held_stream()
        self.kill_gateway()
        opened.read_rest()
        self.assertFalse(opened.is_whole)
        resumed = self.stream(gateway=1, last_event_id=opened.last_event_id)
        self.hold(None)
        resumed.read_rest()
        self.assertTrue(resumed.is_whole)
        self.assert_whole(opened.words + resumed.words)
        self.assertEqual(opened.answer_ids, resumed.answer_ids)

    def test_orphan_of_a_killed_gateway_is_cancelled(self):
        opened = self.held_stream()
        self.kill_gateway()
        self.wait_cancelled(opened)
        self.hold(None)
        resumed = self.stream(gateway=1, last_event_id=opened.last_event_id)
        resumed.read_rest()
        self.assertFalse(resumed.is_whole)
        self.assertEqual(resumed.error["code"], "incomplete")

    def kill_gateway(self):
        """Kills the first gateway; it is started anew after the test."""
        deployment = self.deployment
        deployment.gateways[0].kill()
        deployment.gateways[0].stop()

        def restart():
            deployment.gateways[0] = deployment.start_gateway(0)
            deployment.wait_ready()

        self.addCleanup(restart)


if __name__ == "__main__":
    unittest.main()
