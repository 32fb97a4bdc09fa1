"""Tests of a region whose endpoints all become cold together."""

import asyncio
import unittest
from unittest import mock

import msgspec

from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import permitted_chooser
from bronzeslip.forwarding import standby_copy
from bronzeslip.forwarding import stream_run
from bronzeslip.places import cold_endpoints
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_COLD_S = 0.3
_COLD_PER_S = 2.0
_COLD_COUNT = 6
_NAMES = [f"cold-{number}" for number in range(_COLD_COUNT)]


class RegionOfColdEndpointsTest(unittest.IsolatedAsyncioTestCase):
    def _start(self, *warm_names, cold_per_s=_COLD_PER_S):
        self.service = msgspec.structs.replace(
            forwarding_parts.CALL_SERVICE,
            cold_s=_COLD_S,
            cold_per_s=cold_per_s,
        )
        self.endpoints = [
            forwarding_parts.create_endpoint(name, "a-1", "desk")
            for name in (*_NAMES, *warm_names)
        ]
        self.client = scripted_endpoints.ScriptedEndpointClient(
            {
                candidate.endpoint_id: [
                    scripted_endpoints.ScriptedResponse(200, [b"ok"])
                    for _ in range(500)
                ]
                for candidate in self.endpoints
            }
        )
        self.shared = forwarding_parts.create_components(
            self.client, self.endpoints
        )
        cold = self.shared.endpoints.cold_endpoints
        cold.replace_all(
            (candidate, 1)
            for candidate in self.endpoints
            if candidate.endpoint_id in warm_names
        )
        for candidate in self.endpoints[:_COLD_COUNT]:
            cold.put(candidate, 2)

    async def _call(self, permitted_regions=None):
        request = forwarding_parts.admit(
            forwarding_parts.create_request(),
            kind.RequestKind.IDEMPOTENT,
            self.service,
            permitted_regions,
        )
        await call_forwarder.CallForwarder(self.shared).forward(
            request, scripted_endpoints.RecordedReply()
        )

    async def _fill(self):
        """Uses all shares; returns the errors of the refused requests."""
        refusals = []
        for _ in range(3 * _COLD_COUNT):
            try:
                await self._call()
            except errors.LimitedError as error:
                refusals.append(error)
        return refusals

    def _count_sent(self, name):
        return sum(
            sent.endpoint.endpoint_id == name for sent in self.client.sent
        )

    async def test_each_endpoint_receives_its_share_and_the_rest_is_refused(
        self,
    ):
        self._start()
        started_s = asyncio.get_running_loop().time()
        refusals = await self._fill()
        self.assertLess(asyncio.get_running_loop().time() - started_s, _COLD_S)
        self.assertEqual(
            [self._count_sent(name) for name in _NAMES],
            [_COLD_PER_S] * _COLD_COUNT,
        )
        self.assertEqual(len(refusals), _COLD_COUNT)
        delays_s = {error.retry_after_s for error in refusals}
        self.assertEqual(len(delays_s), len(refusals))
        self.assertLess(max(delays_s), _COLD_S + 1.0)
        self.assertGreater(min(delays_s), 0.0)

    async def test_warm_endpoints_take_the_remaining_requests(self):
        self._start("warm")
        self.assertEqual(await self._fill(), [])
        self.assertLessEqual(
            max(self._count_sent(name) for name in _NAMES), _COLD_PER_S
        )
        self.assertGreater(self._count_sent("warm"), 0)

    async def test_refused_requests_are_served_once_endpoints_are_warm(self):
        self._start()
        await self._fill()
        await asyncio.sleep(_COLD_S)
        self.assertEqual(await self._fill(), [])

    async def test_service_without_a_limit_is_not_affected(self):
        self._start(cold_per_s=0.0)
        self.assertEqual(await self._fill(), [])

    async def test_cold_endpoints_elsewhere_do_not_matter(self):
        self._start()
        await self._fill()
        with self.assertRaises(errors.NoEligibleEndpointError):
            await self._call(frozenset({"b"}))

    # Guards against a gateway without links to the others that asks each cold
    # endpoint's coordinators in turn, until the deadline of the request.
    async def test_wait_for_permits_does_not_grow_with_the_endpoints(self):
        for warm_names in ((), ("warm",)):
            with self.subTest(warm=warm_names):
                self._start(*warm_names)
                # The warm one is never chosen first.
                self.shared.failures.record_failure("warm", 8.0)
                for candidate in self.endpoints[:_COLD_COUNT]:
                    self.shared.endpoints.cold_endpoints.state(candidate, 60.0)
                limits = self.shared.cold_limits
                asked = []

                async def ask_in_vain(target, *_, asked=asked):
                    asked.append(target.endpoint_id)
                    await asyncio.sleep(0.06)
                    return 1.0

                with (
                    mock.patch.object(
                        limits._shares, "requests_per_s", return_value=0
                    ),
                    mock.patch.object(limits._permits, "acquire", ask_in_vain),
                    mock.patch.object(
                        permitted_chooser, "_MAX_PERMIT_WAIT_S", 0.1
                    ),
                ):
                    if warm_names:
                        await self._call()
                        self.assertEqual(self._count_sent("warm"), 1)
                    else:
                        with self.assertRaises(errors.LimitedError):
                            await self._call()
                self.assertEqual(len(asked), 2)

    # Guards against a cost per request for endpoints it does not consider.
    async def test_a_request_looks_up_each_candidate_once(self):
        self._start("warm")
        await self._fill()
        lookups = mock.patch.object(
            cold_endpoints.ColdEndpoints,
            "remaining_s",
            autospec=True,
            side_effect=cold_endpoints.ColdEndpoints.remaining_s,
        )
        with lookups as remaining_s:
            await self._call()
        watched = self.shared.settings.watched_endpoints
        # The watched ones, then all others since those are exhausted, and the
        # chosen one before it is used.
        self.assertLessEqual(
            remaining_s.call_count, watched + len(self.endpoints) + 1
        )

    # Guards against copies from which a run can't resume in time.
    async def test_copies_go_to_warm_engines(self):
        self._start("warm")
        request = msgspec.structs.replace(
            forwarding_parts.admit_generation(), service=self.service
        )
        for _ in range(10):
            target = self.shared.copy_target_chooser.choose(
                request, self.endpoints[0], frozenset(), is_urgent=True
            )
            self.assertEqual(target.endpoint_id, "warm")

    async def test_run_does_not_resume_at_a_cold_engine_without_a_share(self):
        self._start()
        await self._fill()
        request = msgspec.structs.replace(
            forwarding_parts.admit_generation(), service=self.service
        )
        run = stream_run.StreamRun(
            self.shared, request, scripted_endpoints.RecordedReply()
        )
        sent = len(self.client.sent)
        copy = standby_copy.StandbyCopy(
            self.endpoints[0], self.endpoints[1], "h1", 0.0, 1
        )
        with self.assertRaises(errors.NotRunError):
            await run._resume_from(copy)
        self.assertEqual(len(self.client.sent), sent)


if __name__ == "__main__":
    unittest.main()
