"""Tests of the claim protocol under random orders, delays and faults."""

import asyncio
import contextlib
import types
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from bronzeslip import ids
from bronzeslip.claims import claim as claims
from bronzeslip.claims import errors as claim_errors
from bronzeslip.claims import kept_result
from bronzeslip.claims import store as claim_store
from bronzeslip.gateway import call_response
from bronzeslip.gateway import claim_resolver
from bronzeslip.gateway import claimed_call_session
from bronzeslip.gateway import errors
from bronzeslip.sidecar import call_table
from bronzeslip.store import errors as platform_errors
from bronzeslip.transport.frames import call as frames
from standins.platform import store as platform_store
from tests.claims import interleaving

_KEY = claims.key_of("clerks", "commissions", "key")
_FAULTS = (
    *(interleaving.Fault.NONE,) * 6,
    *(interleaving.Fault.LATE,) * 2,
    interleaving.Fault.DROPPED,
    interleaving.Fault.ANSWER_LOST,
)
_NOT_RUN = (errors.NotRunError, errors.UnavailableError)
_SETTINGS = types.SimpleNamespace(
    dispatch_window_s=10.0, call_grace_s=30.0, kept_calls_bytes=100
)


class FakePlatform:
    """Object API whose calls are subject to drawn faults."""

    def __init__(self, simulation):
        self._simulation = simulation
        self._store = platform_store.ObjectStore()

    async def get(self, key):
        async def effect():
            return self._store.get(key)

        return await self._simulation.perform(effect, _unavailable)

    async def create(self, key, value):
        return await self.update(key, value, None)

    async def update(self, key, value, version):
        encoded = claim_store.msgspec.json.encode(value)
        return await self._conditional(
            lambda: self._store.put(key, encoded, version)
        )

    async def delete(self, key, version):
        await self._conditional(lambda: self._store.delete(key, version))

    async def _conditional(self, write):
        async def effect():
            try:
                return await write()
            except platform_store.ConflictError as error:
                raise platform_errors.VersionConflictError("") from error

        return await self._simulation.perform(effect, _unavailable)


class FakeDispatcher:
    """Dispatches to two sidecars with real call tables over faulty links."""

    def __init__(self, simulation):
        self._simulation = simulation
        self.call_ids = set()

    def candidates(self):
        return [
            types.SimpleNamespace(
                endpoint=types.SimpleNamespace(address=address)
            )
            for address in self._simulation.tables
        ]

    async def prepare(self, endpoint, call_id):
        self.call_ids.add(call_id)

        async def effect():
            ticket = self._simulation.tables[endpoint.address].issue_ticket()
            return frames.CallPrepared(call_id, ticket)

        return await self._simulation.perform(effect, _no_answer)

    async def start(self, endpoint, call_id, ticket):
        start = frames.StartCall(
            call_id, "", "", "", "POST", "/", (), b"", False, 60.0, ticket
        )

        async def effect():
            return await self._simulation.tables[endpoint.address].run(start)

        return await self._simulation.perform(effect, _no_answer)

    async def query(self, claim, *, settle):
        request_frame = frames.QueryCall(
            "", claim.call_id, claim.ticket, settle
        )

        async def effect():
            return await self._simulation.tables[claim.address].query(
                request_frame
            )

        return await self._simulation.perform(effect, _no_answer)


class FakeResultWriter:
    """Writes each response once, in the background."""

    def __init__(self, simulation, store):
        self._simulation = simulation
        self._store = store

    def schedule(self, stored, finished):
        self._simulation.tasks.add(
            asyncio.create_task(self._write(stored, finished))
        )

    async def _write(self, stored, finished):
        kept = kept_result.from_finished(finished, 1000)
        with contextlib.suppress(claim_errors.ClaimError):
            await self._store.record_result(stored, kept)


class Simulation:
    """Simulates a platform, two sidecars, an endpoint and requests.

    All requests use the same idempotency key.
    """

    def __init__(self):
        self.steps = interleaving.Interleaving()
        self.tasks = set()
        self.runs = []
        self.now_s = 0.0
        self.tables = {}
        self.requests = []
        self._platform = FakePlatform(self)
        for address in ("a", "b"):
            self.start_sidecar(address)

    async def perform(self, effect, on_lost):
        return await interleaving.perform(
            self.steps, self.tasks, effect, on_lost
        )

    def start_sidecar(self, address):
        self.tables[address] = call_table.CallTable(
            _SETTINGS, ids.random_id(), self._send, lambda: self.now_s
        )

    async def _send(self, start):
        fault = await self.steps.step()
        if fault is interleaving.Fault.DROPPED:
            return frames.CallRefused(start.call_id, "", 1.0)
        self.runs.append(start.call_id)
        if fault is interleaving.Fault.ANSWER_LOST:
            return frames.CallOutcomeUnknown(start.call_id)
        await self.steps.step()
        return frames.CallFinished(
            start.call_id, 200, (), start.call_id.encode()
        )

    def request(self):
        dispatcher = FakeDispatcher(self)
        store = claim_store.ClaimStore(self._platform)
        retries = types.SimpleNamespace(admit=_admit)
        session = claimed_call_session.ClaimedCallSession(
            store,
            FakeResultWriter(self, store),
            dispatcher,
            retries,
            _KEY,
            "digest",
        )
        task = asyncio.create_task(session.run())
        task.add_done_callback(
            lambda done: done.cancelled() or done.exception()
        )
        self.requests.append((dispatcher, task))

    def apply_action(self, action):
        if action == "advance":
            self.now_s += 6.0
        elif action == "request" and len(self.requests) < 4:
            self.request()
        elif action == "kill" and self.requests:
            self.requests[-1][1].cancel()
        elif action == "restart":
            self.start_sidecar("a")


def _unavailable():
    raise platform_errors.PlatformUnavailableError("")


async def _admit():
    return True


def _no_answer():
    return None


async def _run_schedule(data):
    simulation = Simulation()
    simulation.request()
    for _ in range(data.draw(strategies.integers(20, 80))):
        await simulation.steps.settle()
        action = data.draw(
            strategies.sampled_from(
                ["step"] * 12
                + ["request", "advance", "advance", "kill", "restart"]
            )
        )
        if action == "step" and simulation.steps.blocked_count:
            index = data.draw(
                strategies.integers(0, simulation.steps.blocked_count - 1)
            )
            fault = data.draw(strategies.sampled_from(_FAULTS))
            simulation.steps.release(index, fault)
        simulation.apply_action(action)
    await simulation.steps.settle()
    while simulation.steps.blocked_count:
        simulation.steps.release(0, interleaving.Fault.NONE)
        await simulation.steps.settle()
    return simulation


class ProtocolTest(unittest.TestCase):
    @hypothesis.settings(
        max_examples=150,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.data())
    def test_call_runs_at_most_once_with_accurate_outcome(self, data):
        with mock.patch.object(claim_resolver, "_SETTLE_BACKOFF_S", 0):
            simulation = asyncio.run(_run_schedule(data))
        self.assertLessEqual(len(simulation.runs), 1)
        for dispatcher, task in simulation.requests:
            self.assertTrue(task.done())
            if not task.cancelled():
                self.check_reported_outcome(simulation, dispatcher, task)

    def check_reported_outcome(self, simulation, dispatcher, task):
        error = task.exception()
        if error is None:
            self.assertIsInstance(task.result(), call_response.CallResponse)
            self.assertEqual([task.result().body.decode()], simulation.runs)
        elif isinstance(error, _NOT_RUN):
            self.assertTrue(dispatcher.call_ids.isdisjoint(simulation.runs))
        else:
            self.assertIsInstance(
                error, errors.InProgressError | errors.OutcomeUnknownError
            )


if __name__ == "__main__":
    unittest.main()
