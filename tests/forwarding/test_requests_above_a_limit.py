"""Tests of requests for endpoints that have stated a limit."""

import asyncio
import itertools
import unittest

from bronzeslip.forwarding import attempts
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import resumption_reserve
from bronzeslip.forwarding import standby_copy
from bronzeslip.forwarding import stream_run
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_RATE_PER_S = 2.0
_FIRST = b"id: 1\ndata: a\n\n"
_SECOND = b"id: 2\ndata: b\n\n"


def _create_endpoints(*names, service_name="desk"):
    return [
        forwarding_parts.create_endpoint(name, service_name=service_name)
        for name in names
    ]


class CallsAboveALimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.endpoints = _create_endpoints("one", "two")
        self.client = scripted_endpoints.ScriptedEndpointClient(
            {
                name: [
                    scripted_endpoints.ScriptedResponse(200, [b"ok"])
                    for _ in range(50)
                ]
                for name in ("one", "two")
            }
        )
        self.shared = forwarding_parts.create_components(
            self.client, self.endpoints
        )

    def _limit(self, *names):
        for candidate in self.endpoints:
            if candidate.endpoint_id in names:
                self.shared.endpoints.request_limits.state(
                    candidate, _RATE_PER_S
                )

    async def _call(self):
        request = forwarding_parts.admit(
            forwarding_parts.create_request(), kind.RequestKind.AT_MOST_ONCE
        )
        reply = scripted_endpoints.RecordedReply()
        await call_forwarder.CallForwarder(self.shared).forward(request, reply)

    async def _refusal(self):
        with self.assertRaises(errors.LimitedError) as caught:
            await self._call()
        return caught.exception

    def _sent_to(self, name):
        return [
            sent
            for sent in self.client.sent
            if sent.endpoint.endpoint_id == name
        ]

    async def test_requests_above_the_limit_go_to_another_endpoint(self):
        self._limit("one")
        for _ in range(20):
            await self._call()
        self.assertEqual(len(self.client.sent), 20)
        self.assertLessEqual(len(self._sent_to("one")), 2)

    async def test_request_is_refused_at_once_if_none_is_left(self):
        self._limit("one", "two")
        started_s = asyncio.get_running_loop().time()
        error = await self._refusal()
        self.assertLess(asyncio.get_running_loop().time() - started_s, 0.1)
        self.assertEqual(self.client.sent, [])
        self.assertGreater(error.retry_after_s, 0.0)

    async def test_refused_caller_that_returns_in_time_is_served(self):
        self._limit("one", "two")
        error = await self._refusal()
        await asyncio.sleep(error.retry_after_s + 0.01)
        await self._call()
        self.assertEqual(len(self.client.sent), 1)

    async def test_refused_callers_return_at_different_times(self):
        self._limit("one", "two")
        delays_s = sorted(
            [(await self._refusal()).retry_after_s for _ in range(4)]
        )
        for earlier_s, later_s in itertools.pairwise(delays_s):
            self.assertGreater(later_s - earlier_s, 0.2)

    async def test_retry_needs_a_permit_too(self):
        self._limit("two")
        self.client._responses["one"] = [
            scripted_endpoints.create_not_run_response()
        ]
        with self.assertRaises(errors.NotRunError):
            await self._call()
        self.assertEqual(self._sent_to("two"), [])

    async def test_refusals_by_limits_are_no_failures_of_endpoints(self):
        self._limit("one", "two")
        for _ in range(2 * attempts._MAX_REFUSALS):
            await self._refusal()
        self.assertEqual(self.shared.failures.score_of("one"), 0.0)

    async def test_service_without_limits_is_not_affected(self):
        for _ in range(20):
            await self._call()
        self.assertEqual(len(self.client.sent), 20)


class GenerationsAboveALimitTest(unittest.IsolatedAsyncioTestCase):
    async def _start(self, responses, *names):
        self.engines = _create_endpoints(*names, service_name="pool")
        self.client = scripted_endpoints.ScriptedEndpointClient(responses)
        self.shared = forwarding_parts.create_components(
            self.client, self.engines
        )

    def _limit(self, name):
        for engine in self.engines:
            if engine.endpoint_id == name:
                self.shared.endpoints.request_limits.state(engine, _RATE_PER_S)

    async def test_generations_leave_a_permit_to_resumptions(self):
        await self._start({}, "one")
        self._limit("one")
        (engine,) = self.engines
        permits = self.shared.permits
        reserved = resumption_reserve.reserved_by(
            forwarding_parts.admit_generation()
        )
        await asyncio.sleep(await permits.acquire(engine, reserved) + 0.01)
        self.assertEqual(await permits.acquire(engine, reserved), 0.0)
        self.assertGreater(await permits.acquire(engine, reserved), 0.0)
        self.assertEqual(await permits.acquire(engine), 0.0)

    async def test_resumption_needs_a_permit(self):
        cut = asyncio.Event()
        await self._start(
            {
                "one": [
                    scripted_endpoints.ScriptedResponse(
                        200, [_FIRST, cut, ConnectionError()]
                    )
                ],
                "two": [scripted_endpoints.ScriptedResponse(200, [_SECOND])],
            },
            "one",
            "two",
        )
        copy_target = self.engines[1]
        self._limit("two")
        self.assertGreater(await self.shared.permits.acquire(copy_target), 0.0)
        run = stream_run.StreamRun(
            self.shared,
            forwarding_parts.admit_generation(),
            scripted_endpoints.RecordedReply(),
        )
        copy = standby_copy.StandbyCopy(
            source=self.engines[0],
            target=copy_target,
            handle="h1",
            renewed_s=0.0,
            events=1,
        )
        with self.assertRaises(errors.NotRunError):
            await run._resume_from(copy)
        self.assertEqual(self.client.sent, [])

    async def test_copies_go_to_engines_without_a_limit(self):
        await self._start({}, "one", "two", "three")
        self._limit("two")
        targets = {
            self.shared.copy_target_chooser.choose(
                forwarding_parts.admit_generation(),
                self.engines[0],
                frozenset(),
                is_urgent=True,
            ).endpoint_id
            for _ in range(20)
        }
        self.assertEqual(targets, {"three"})


if __name__ == "__main__":
    unittest.main()
