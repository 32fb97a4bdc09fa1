"""Tests of bronzeslip.forwarding.run_stopper and its use by streams.

The connection of a stream may be lost although its engine goes on generating.
The stream must not resume at another engine meanwhile.
"""

import asyncio
import unittest
from unittest import mock

from bronzeslip import ids
from bronzeslip.endpoints import report
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import run_stopper
from bronzeslip.forwarding import standby_copy
from bronzeslip.forwarding import stream_run
from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_RESPONSE_LOST = endpoint_errors.EndpointResponseLostError("reset")
_FIRST = b"id: 1\ndata: a\n\n"
_SECOND = b"id: 2\ndata: b\n\n"
_REQUEST_ID = ids.RequestId("q1")


class _Engines(scripted_endpoints.ScriptedEndpointClient):
    """Engines that work on until they are told to stop.

    Attributes:
        bodies: Chunks of the responses, in the order of the requests.
        working: Engines that work on the request, connected or not.
        overlaps: Engines that worked on it when it was sent to another one.
        obeys: Whether engines stop a run when told to.
        absent: Engines whose process is gone.
        copied: Set once a copy of the running request has been made.
        busy_count: Number of calls to copy a run that are turned away first.
        stops: Engines that were told to stop the run.
        targets: Targets of the copies that were to be made on stopping.
        on_busy: Called when a call to copy a run is turned away.
    """

    def __init__(self, *bodies):
        super().__init__({})
        self.bodies = list(bodies)
        self.working = set()
        self.overlaps = []
        self.obeys = True
        self.copied = asyncio.Event()
        self.busy_count = 0
        self.stops = []
        self.targets = []
        self.on_busy = lambda: None

    async def send(self, outgoing):
        self.sent.append(outgoing)
        name = outgoing.endpoint.endpoint_id
        self.overlaps += [other for other in self.working if other != name]
        self.working.add(name)
        body = self.bodies.pop(0)
        if isinstance(body, Exception):
            raise body
        return scripted_endpoints.ScriptedResponse(200, body)

    async def report(self, target, must_be_own=False):
        self._raise_if_absent(target)
        runs = ()
        if target.endpoint_id in self.working:
            runs = (report.RunReport(_REQUEST_ID, 3000, 1),)
        return forwarding_parts.create_report(runs=runs)

    async def copy_run(self, source, request_id, target, is_last, timeout_s):
        self._raise_if_absent(source)
        if not is_last:
            self.copied.set()
            return endpoint_client.CopyResult(ids.HandleId("early"), 1)
        self.targets.append(target.endpoint_id)
        if self.busy_count:
            self.busy_count -= 1
            self.on_busy()
            raise endpoint_errors.EndpointRefusedError("copy in progress")
        self.stops.append(source.endpoint_id)
        if source.endpoint_id not in self.working:
            raise endpoint_errors.EndpointNotFoundError("no such run")
        if self.obeys:
            self.working.remove(source.endpoint_id)
        return endpoint_client.CopyResult(ids.HandleId("last"), 1)

    def _raise_if_absent(self, target):
        if target.endpoint_id in self.absent:
            raise endpoint_errors.EndpointAbsentError("refused")


class LostStreamTest(unittest.IsolatedAsyncioTestCase):
    async def _serve(self, engines, **route_changes):
        """Serves a stream by two engines without neighbours."""
        self.components = forwarding_parts.create_components(
            engines,
            [
                forwarding_parts.create_endpoint("one", "a-1"),
                forwarding_parts.create_endpoint("two", "b-1"),
            ],
        )
        # Retries are earned by requests.
        for _ in range(20):
            self.components.retry_budgets.count_request(
                forwarding_parts.ENGINE_SERVICE.name
            )
        self.reply = scripted_endpoints.RecordedReply()
        request = forwarding_parts.admit_generation(**route_changes)
        await stream_run.StreamRun(self.components, request, self.reply).serve()

    # Guards against resuming a stream while the engine before works on it.
    async def test_engine_that_lost_its_response_stops_first(self):
        engines = _Engines(None, [_SECOND])
        engines.bodies[0] = [_FIRST, engines.copied, _RESPONSE_LOST]
        await self._serve(engines)
        self.assertEqual(engines.overlaps, [])
        self.assertEqual(self.reply.body, _FIRST + _SECOND)
        self.assertTrue(self.reply.is_finished)
        self.assertEqual(engines.sent[1].source.handle, "last")

    # Guards against the same by an engine that ignores the call to stop.
    async def test_stream_ends_if_its_engine_does_not_stop(self):
        engines = _Engines(None, [_SECOND])
        engines.bodies[0] = [_FIRST, engines.copied, _RESPONSE_LOST]
        engines.obeys = False
        with (
            mock.patch.object(run_stopper, "_STOP_TIMEOUT_S", 0.3),
            self.assertRaises(errors.ResponseInterruptedError),
        ):
            await self._serve(engines)
        self.assertEqual(len(engines.sent), 1)
        self.assertFalse(self.reply.is_finished)

    # Guards against the same on routes whose requests may run again.
    async def test_resumable_stream_waits_for_the_engine_before(self):
        engines = _Engines([_FIRST, _RESPONSE_LOST], _RESPONSE_LOST, [_SECOND])
        await self._serve(engines, is_resumable=True, max_attempts=3)
        self.assertEqual(engines.overlaps, [])
        self.assertEqual(self.reply.body, _FIRST + _SECOND)

    async def test_stop_is_tried_again_while_a_copy_is_in_progress(self):
        engines = _Engines([_FIRST, _RESPONSE_LOST], [_SECOND])
        engines.busy_count = 2
        await self._serve(engines)
        self.assertEqual(engines.overlaps, [])
        self.assertTrue(self.reply.is_finished)

    async def test_stream_without_a_copy_ends_if_its_engine_is_gone(self):
        engines = _Engines([_FIRST, _RESPONSE_LOST])
        engines.absent = {"one", "two"}
        with self.assertRaises(errors.ResponseInterruptedError):
            await self._serve(engines)
        self.assertEqual(len(engines.sent), 1)


class RunStopperTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.engines = _Engines()
        self.source = forwarding_parts.create_endpoint("one")
        target = forwarding_parts.create_endpoint("two")
        components = forwarding_parts.create_components(
            self.engines, [self.source, target]
        )
        self.stopper = run_stopper.RunStopper(
            components, forwarding_parts.admit_generation()
        )

    async def _stop(self):
        return await self.stopper.stop(self.source, None)

    async def test_engine_without_the_run_needs_no_further_call(self):
        self.assertIsNone(await self._stop())
        self.assertEqual(self.engines.stops, ["one"])

    async def test_engine_that_is_gone_is_not_waited_for(self):
        self.engines.working.add("one")
        self.engines.absent.add("one")
        self.assertIsNone(await asyncio.wait_for(self._stop(), 0.2))

    # Guards against asking a plain service for a report that it does not have.
    async def test_plain_service_is_not_called(self):
        components = forwarding_parts.create_components(self.engines)
        stopper = run_stopper.RunStopper(
            components,
            forwarding_parts.admit(
                forwarding_parts.create_request(), kind.RequestKind.STREAM
            ),
        )
        self.engines.working.add("one")
        self.assertIsNone(await stopper.stop(self.source, None))
        self.assertEqual(self.engines.stops, [])

    async def test_copy_of_the_stopped_run_is_returned(self):
        self.engines.working.add("one")
        copy = await self._stop()
        self.assertEqual(
            (copy.handle, copy.target.endpoint_id), ("last", "two")
        )

    # Guards against copying a run to an engine that was evacuated while the
    # call to stop the run was repeated.
    async def test_copy_goes_elsewhere_once_its_target_is_evacuated(self):
        targets = [
            forwarding_parts.create_endpoint("two", "b-1"),
            forwarding_parts.create_endpoint("three", "a-1"),
        ]
        components = forwarding_parts.create_components(
            self.engines, [self.source, *targets]
        )
        stopper = run_stopper.RunStopper(
            components, forwarding_parts.admit_generation()
        )
        self.engines.working.add("one")
        self.engines.busy_count = 1
        domains = components.endpoints.evacuated_domains
        self.engines.on_busy = lambda: domains.add("b-1")
        earlier = standby_copy.StandbyCopy(
            self.source, targets[0], ids.HandleId("early"), 0.0, 1
        )
        copy = await stopper.stop(self.source, earlier)
        self.assertEqual(self.engines.targets, ["two", "three"])
        self.assertEqual(copy.target.endpoint_id, "three")


if __name__ == "__main__":
    unittest.main()
