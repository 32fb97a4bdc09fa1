"""Tests of requests and runs while failure domains are evacuated."""

import asyncio
import unittest
from unittest import mock

import msgspec

from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import run_stopper
from bronzeslip.forwarding import standby_copy
from bronzeslip.forwarding import standby_keeper
from bronzeslip.forwarding import stream_run
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import polling
from tests.support import scripted_endpoints

_DOMAINS = {"a1": "a-1", "a2": "a-2", "b1": "b-1"}


def _create_endpoints(service_name):
    return [
        forwarding_parts.create_endpoint(name, domain, service_name)
        for name, domain in _DOMAINS.items()
    ]


class CallsDuringEvacuationsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = scripted_endpoints.ScriptedEndpointClient(
            {
                name: [
                    scripted_endpoints.ScriptedResponse(200, [b"a"])
                    for _ in range(50)
                ]
                for name in _DOMAINS
            }
        )
        self.shared = forwarding_parts.create_components(
            self.client, _create_endpoints("desk")
        )
        self.domains = self.shared.endpoints.evacuated_domains

    async def _call(self, permitted_regions=None):
        request = forwarding_parts.admit(
            forwarding_parts.create_request(),
            kind.RequestKind.AT_MOST_ONCE,
            permitted_regions=permitted_regions,
        )
        await call_forwarder.CallForwarder(self.shared).forward(
            request, scripted_endpoints.RecordedReply()
        )

    def _receivers(self):
        return {sent.endpoint.endpoint_id for sent in self.client.sent}

    async def test_evacuated_endpoints_receive_nothing_until_cleared(self):
        self.domains.replace_all(["a-1", "b-1"])
        for _ in range(20):
            await self._call()
        self.assertEqual(self._receivers(), {"a2"})
        self.domains.remove("b-1")
        self.domains.add("a-2")
        self.client.sent.clear()
        await self._call()
        self.assertEqual(self._receivers(), {"b1"})

    async def test_evacuation_of_all_failure_domains_refuses_at_once(self):
        self.domains.replace_all(_DOMAINS.values())
        delays_s = set()
        for regions in (None, None, frozenset({"a"})):
            with self.assertRaises(errors.EvacuatedError) as caught:
                await self._call(regions)
            delays_s.add(caught.exception.retry_after_s)
        self.assertEqual(len(delays_s), 3)
        self.assertEqual(self.client.sent, [])

    async def test_evacuation_of_all_permitted_regions_refuses_at_once(self):
        self.domains.add("b-1")
        with self.assertRaises(errors.EvacuatedError):
            await self._call(frozenset({"b"}))
        await self._call()

    # Guards against unreachable endpoints that hide the evacuation of others.
    async def test_unreachable_endpoints_are_tried_before_evacuated_ones(self):
        self.domains.replace_all(["a-1", "b-1"])
        for candidate in self.shared.endpoints.endpoints:
            if candidate.endpoint_id == "a2":
                self.shared.endpoints.set_reachable(candidate, False)
        await self._call()
        self.assertEqual(self._receivers(), {"a2"})

    async def test_request_that_waits_for_a_permit_is_checked_again(self):
        self.domains.add("b-1")
        evacuated = set()

        async def acquire(target, reserved=0.0):
            if not evacuated:
                evacuated.add(target.endpoint_id)
                self.domains.add(target.failure_domain)
            return 0.0

        with mock.patch.object(self.shared.permits, "acquire", acquire):
            await self._call()
        self.assertEqual(self._receivers(), {"a1", "a2"} - evacuated)

    async def test_chosen_endpoint_is_checked_again_before_it_is_sent(self):
        chosen = self.shared.endpoints.ready_endpoints("desk")[0]
        self.domains.add(chosen.failure_domain)
        choices = mock.AsyncMock(
            side_effect=[chosen, self.shared.endpoints.get("b1")]
        )
        with mock.patch.object(
            self.shared.permitted_chooser, "choose", choices
        ):
            await self._call()
        self.assertEqual(self._receivers(), {"b1"})


class RunsDuringEvacuationsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = scripted_endpoints.ScriptedEndpointClient({})
        self.engines = {
            engine.endpoint_id: engine for engine in _create_endpoints("pool")
        }
        self.shared = forwarding_parts.create_components(
            self.client, self.engines.values()
        )
        self.domains = self.shared.endpoints.evacuated_domains
        self.request = forwarding_parts.admit_generation()

    def _keep(self, source):
        keeper = standby_keeper.StandbyKeeper(
            self.shared, self.request, self.engines[source]
        )
        task = asyncio.create_task(keeper.run())
        self.addCleanup(task.cancel)
        return keeper

    def _announce_leaving(self, name):
        self.shared.endpoints.put(
            msgspec.structs.replace(
                self.engines[name], state=endpoint.EndpointState.LEAVING
            )
        )

    # Guards against copies to other regions of all runs of a region.
    async def test_evacuation_alone_starts_no_copies(self):
        for evacuated in (["a-1"], ["a-2"], ["a-1", "a-2"]):
            self.domains.replace_all(evacuated)
            self._keep("a1")
            await asyncio.sleep(0.02)
            self.assertEqual(self.client.copies, [])

    async def test_run_is_copied_out_of_an_evacuated_failure_domain(self):
        self.domains.replace_all(["a-1"])
        self._keep("a1")
        self._announce_leaving("a1")
        await polling.wait_until(lambda: self.client.copies)
        self.assertEqual(self.client.copies[0], ("a1", "a2"))

    async def test_copies_never_go_to_an_evacuated_failure_domain(self):
        self.domains.replace_all(["a-2"])
        self._keep("a1")
        self._announce_leaving("a1")
        await polling.wait_until(lambda: self.client.copies)
        self.assertEqual(set(self.client.copies), {("a1", "b1")})

    async def test_copy_moves_when_its_target_is_evacuated(self):
        keeper = self._keep("a1")
        self._announce_leaving("a1")
        await polling.wait_until(lambda: keeper.copy)
        self.assertEqual(keeper.copy.target.endpoint_id, "a2")
        self.domains.add("a-2")
        await polling.wait_until(lambda: keeper.copy.target.endpoint_id == "b1")

    async def test_run_does_not_resume_at_an_evacuated_engine(self):
        self.domains.add("a-2")
        run = stream_run.StreamRun(
            self.shared, self.request, scripted_endpoints.RecordedReply()
        )
        copy = standby_copy.StandbyCopy(
            self.engines["a1"], self.engines["a2"], "h1", 0.0, 1
        )
        with self.assertRaises(errors.NotRunError):
            await run._resume_from(copy)
        self.assertEqual(self.client.sent, [])

    # A run that stops while the engine with its copy is evacuated is copied to
    # another engine, and would be lost otherwise.
    async def test_stopped_run_is_copied_to_an_engine_that_may_resume_it(self):
        self.domains.add("a-2")
        stopper = run_stopper.RunStopper(self.shared, self.request)
        copy = standby_copy.StandbyCopy(
            self.engines["a1"], self.engines["a2"], "h1", 0.0, 1
        )
        with mock.patch.object(self.client, "copy_run") as copy_run:
            await stopper.stop(self.engines["a1"], copy)
        self.assertEqual(copy_run.call_args.args[2].endpoint_id, "b1")


if __name__ == "__main__":
    unittest.main()
