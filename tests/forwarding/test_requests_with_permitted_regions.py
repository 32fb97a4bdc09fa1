"""Tests of requests that only endpoints of some regions may receive."""

import unittest

from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import standby_copy
from bronzeslip.forwarding import stream_run
from bronzeslip.routes import kind
from bronzeslip.settings import entry
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_REGION_B = frozenset({"b"})
# The gateway is in region a.
_DOMAINS = {"a1": "a-1", "a2": "a-2", "b1": "b-1", "b2": "b-1", "x": "unlisted"}


def _create_endpoints(service_name, domains=None):
    return [
        forwarding_parts.create_endpoint(name, domain, service_name)
        for name, domain in (domains or _DOMAINS).items()
    ]


class CallsWithPermittedRegionsTest(unittest.IsolatedAsyncioTestCase):
    def _start(self, response=None, settings=forwarding_parts.SETTINGS):
        self.client = scripted_endpoints.ScriptedEndpointClient(
            {
                name: [
                    response or scripted_endpoints.ScriptedResponse(200, [b"a"])
                    for _ in range(50)
                ]
                for name in _DOMAINS
            }
        )
        self.shared = forwarding_parts.create_components(
            self.client, _create_endpoints("desk"), settings
        )

    async def _call(self, permitted_regions):
        request = forwarding_parts.admit(
            forwarding_parts.create_request(),
            kind.RequestKind.IDEMPOTENT,
            permitted_regions=permitted_regions,
            max_attempts=4,
        )
        reply = scripted_endpoints.RecordedReply()
        await call_forwarder.CallForwarder(self.shared).forward(request, reply)

    def _receivers(self):
        return {sent.endpoint.endpoint_id for sent in self.client.sent}

    async def test_all_choosers_send_only_to_permitted_regions(self):
        for placement in entry.Placement:
            with self.subTest(placement=placement):
                self._start(
                    settings=entry.EntrySettings(
                        lapse_grace_s=0.05, placement=placement
                    )
                )
                for _ in range(20):
                    await self._call(_REGION_B)
                self.assertLessEqual(self._receivers(), {"b1", "b2"})

    async def test_retries_stay_in_permitted_regions(self):
        self._start(scripted_endpoints.create_not_run_response())
        with self.assertRaises(errors.NotRunError):
            await self._call(_REGION_B)
        self.assertEqual(self._receivers(), {"b1", "b2"})

    # Guards against long retry times because of refusals in another region.
    async def test_refusals_elsewhere_do_not_delay_a_retry(self):
        self._start()
        limits = self.shared.endpoints.request_limits
        for candidate in self.shared.endpoints.ready_endpoints("desk"):
            is_slow = candidate.failure_domain.startswith("a")
            limits.state(candidate, 0.5 if is_slow else 10.0)
        for _ in range(10):
            with self.assertRaises(errors.LimitedError):
                await self._call(frozenset({"a"}))
        with self.assertRaises(errors.LimitedError) as caught:
            await self._call(_REGION_B)
        self.assertLess(caught.exception.retry_after_s, 1.0)

    async def test_calls_without_an_allowed_endpoint_are_refused(self):
        self._start()
        delays_s = set()
        for _ in range(5):
            with self.assertRaises(errors.NoEligibleEndpointError) as caught:
                await self._call(frozenset({"c"}))
            delays_s.add(caught.exception.retry_after_s)
        self.assertEqual(self.client.sent, [])
        self.assertEqual(len(delays_s), 5)

    # Guards against a region that is paused, not empty, being told the time of
    # an endpoint in another region.
    async def test_retry_time_is_that_of_a_paused_allowed_endpoint(self):
        self._start()
        for candidate in self.shared.endpoints.endpoints:
            pause_s = 3.0 if candidate.failure_domain == "b-1" else 1.0
            self.shared.endpoints.pause(candidate, pause_s)
        with self.assertRaises(errors.NotRunError) as caught:
            await self._call(_REGION_B)
        self.assertAlmostEqual(caught.exception.retry_after_s, 3.0, 1)

    # Guards against limits of endpoints elsewhere that hide the reason.
    async def test_limits_elsewhere_do_not_matter(self):
        self._start()
        for candidate in self.shared.endpoints.endpoints:
            self.shared.endpoints.request_limits.state(candidate, 1.0)
        with self.assertRaises(errors.LimitedError):
            await self._call(None)
        with self.assertRaises(errors.NoEligibleEndpointError):
            await self._call(frozenset({"c"}))


class GenerationsWithPermittedRegionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = scripted_endpoints.ScriptedEndpointClient({})
        self.engines = {
            engine.endpoint_id: engine for engine in _create_endpoints("pool")
        }
        self.shared = forwarding_parts.create_components(
            self.client, self.engines.values()
        )
        request = forwarding_parts.create_generation_request()
        self.request = forwarding_parts.admit(
            request,
            kind.RequestKind.STREAM,
            forwarding_parts.ENGINE_SERVICE,
            _REGION_B,
        )

    def _copy_target(self, source, failed=frozenset(), is_urgent=True):
        return self.shared.copy_target_chooser.choose(
            self.request, self.engines[source], failed, is_urgent
        )

    async def test_copies_stay_in_permitted_regions(self):
        for is_urgent in (True, False):
            target = self._copy_target("b1", is_urgent=is_urgent)
            self.assertEqual(target.endpoint_id, "b2")
            # No copy is better than one in another region.
            self.assertIsNone(
                self._copy_target("b1", frozenset({"b2"}), is_urgent)
            )

    async def test_run_does_not_resume_from_a_copy_elsewhere(self):
        run = stream_run.StreamRun(
            self.shared, self.request, scripted_endpoints.RecordedReply()
        )
        copy = standby_copy.StandbyCopy(
            self.engines["b1"], self.engines["a1"], "h1", 0.0, 1
        )
        with self.assertRaises(errors.NotRunError):
            await run._resume_from(copy)
        self.assertEqual(self.client.sent, [])


if __name__ == "__main__":
    unittest.main()
