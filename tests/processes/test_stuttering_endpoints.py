"""Tests of gateways before endpoints that send more than one response."""

import asyncio
import collections
import random
import unittest

import httpx

from tools import entry_configuration
from tools import entry_deployment
from tools.soak import checker
from tools.soak import request_kind
from tools.soak import request_result
from tools.soak import response_checker

_SEED = 42
_GATEWAY_COUNT = 2
_ENDPOINT_COUNT = 4
_CALLER_COUNT = 24
_REQUESTS_PER_CALLER = 60
_READ_SHARE = 0.65
_LEAVING_SHARE = 0.08
_LEAVING_RANGE_S = (0.002, 0.05)
_DEADLINES_MS = (150, 400, 1_500, 4_000, 15_000)
_MAX_BODY_BYTES = 400
_TIMEOUT_S = 20.0
_READ = request_kind.RequestKind.READ
_CALL = request_kind.RequestKind.CALL
_STAMP = "Bronzeslip-Response-Stamp"


class StutteringEndpointTest(unittest.IsolatedAsyncioTestCase):
    maxDiff = None

    @classmethod
    def setUpClass(cls):
        cls.deployment = entry_deployment.EntryDeployment(
            _GATEWAY_COUNT,
            0,
            stuttering_seeds=[
                f"{_SEED} {number}" for number in range(_ENDPOINT_COUNT)
            ],
        )
        cls.addClassCleanup(cls.deployment.stop)

    async def _call(self, client, gateway, request_id, rng):
        kind = _READ if rng.random() < _READ_SHARE else _CALL
        headers = entry_configuration.headers(request_id)
        headers["Bronzeslip-Deadline-Ms"] = str(rng.choice(_DEADLINES_MS))
        request = client.build_request(
            "GET" if kind is _READ else "POST",
            gateway.url(f"{kind.value}{request_id}"),
            headers=headers,
            content=b""
            if kind is _READ
            else request_id.encode() + b"y" * rng.randrange(_MAX_BODY_BYTES),
        )
        leaves_after_s = None
        if rng.random() < _LEAVING_SHARE:
            leaves_after_s = rng.uniform(*_LEAVING_RANGE_S)
        status, stamp, body, is_complete = None, "", b"", False
        try:
            async with asyncio.timeout(leaves_after_s):
                response = await client.send(request, stream=True)
                status = response.status_code
                stamp = response.headers.get(_STAMP, "")
                try:
                    async for chunk in response.aiter_raw():
                        body += chunk
                    is_complete = True
                finally:
                    await response.aclose()
        except (httpx.HTTPError, TimeoutError):
            # The result holds the part that was received.
            pass
        return request_result.RequestResult(
            request_id, kind, status, body, is_complete, stamp=stamp
        )

    async def _run_caller(self, number):
        rng = random.Random(f"{_SEED} caller {number}")
        results = []
        async with httpx.AsyncClient(timeout=_TIMEOUT_S) as client:
            for index in range(_REQUESTS_PER_CALLER):
                gateway = self.deployment.gateways[
                    rng.randrange(_GATEWAY_COUNT)
                ]
                results.append(
                    await self._call(client, gateway, f"q{number}-{index}", rng)
                )
        return results

    def _sent_responses(self):
        return [
            response
            for endpoint in self.deployment.stuttering_endpoints
            for response in endpoint.sent_responses()
        ]

    def _runs(self):
        return collections.Counter(
            request_id
            for endpoint in self.deployment.stuttering_endpoints
            for request_id in endpoint.executed_request_ids
        )

    # Guards against a success in place of the failure that an endpoint sent.
    async def test_callers_receive_what_the_endpoint_sent_for_their_request(
        self,
    ):
        results = [
            result
            for caller_results in await asyncio.gather(
                *(self._run_caller(number) for number in range(_CALLER_COUNT))
            )
            for result in caller_results
        ]
        runs = self._runs()
        violations = list(
            response_checker.check(results, self._sent_responses())
        )
        for result in results:
            violations += checker.check_runs(result, runs[result.request_id])
        self.assertEqual(violations, [])
        refused_although_run = [
            result
            for result in results
            if result.status in checker.NOT_RUN_STATUSES
            and runs[result.request_id]
        ]
        self.assertEqual(refused_although_run, [])
        self.assertLessEqual(
            runs.keys(), {result.request_id for result in results}
        )
        successes = [
            result
            for result in results
            if result.is_success and result.is_complete
        ]
        self.assertGreater(len(successes), len(results) // 3)
        unmatched_lines = [
            line
            for gateway in self.deployment.gateways
            for line in gateway.process.lines
            if '"endpoint.unmatched_answer"' in line
        ]
        self.assertGreater(len(unmatched_lines), 0)


if __name__ == "__main__":
    unittest.main()
