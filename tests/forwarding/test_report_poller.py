"""Tests of bronzeslip.forwarding.report_poller."""

import asyncio
import contextlib
import unittest

import msgspec

from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import report_cache
from bronzeslip.endpoints import watched_endpoints
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import report_poller
from bronzeslip.routes import current
from bronzeslip.settings import entry
from tests.support import forwarding_parts
from tests.support import polling

_INTERVAL_S = 0.2


class _FakeClient:
    def __init__(self):
        self.next_report = forwarding_parts.create_report()
        self.unforeseen_error = None
        self.count = 0
        self.last_target = None
        self.silent = frozenset()

    async def report(self, target):
        self.count += 1
        self.last_target = target
        if target.endpoint_id in self.silent:
            raise endpoint_errors.EndpointUnreachableError("silent")
        if self.unforeseen_error is not None:
            raise self.unforeseen_error
        if self.next_report is None:
            raise endpoint_errors.EndpointUnreachableError("gone")
        return self.next_report


class ReportPollerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        settings = entry.EntrySettings(
            report_interval_s=_INTERVAL_S,
            busy_report_interval_s=0.02,
            lone_report_interval_s=0.05,
        )
        self.one = forwarding_parts.create_endpoint("one")
        self.directory = directory.EndpointDirectory(settings)
        self.directory.replace_all((self.one,))
        self.in_flight = in_flight_requests.InFlightRequests()
        self.client = _FakeClient()
        self.reports = report_cache.ReportCache()
        self.poller = report_poller.ReportPoller(
            settings,
            self.directory,
            watched_endpoints.WatchedEndpoints(
                settings,
                forwarding_parts.VM_CONFIG,
                self.directory,
                current.CurrentTable(),
            ),
            self.in_flight,
            self.client,
            self.reports,
            lambda: ("pool",),
        )
        self.running = asyncio.create_task(self.poller.run())
        self.addAsyncCleanup(self._stop)

    async def _stop(self):
        self.running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.running

    async def test_reports_are_stored(self):
        await polling.wait_until(lambda: self.reports.get("one"))
        self.client.next_report = forwarding_parts.create_report(used_tokens=7)
        await polling.wait_until(
            lambda: self.reports.get("one").report.used_tokens == 7
        )

    async def test_engine_that_reports_leaving_accepts_no_requests(self):
        self.directory.mark_source_lost()
        self.client.next_report = forwarding_parts.create_report(
            is_leaving=True
        )
        await polling.wait_until(
            lambda: not self.directory.accepts_requests(self.one)
        )

    async def test_unresponsive_engine_is_unreachable_until_it_answers(self):
        await polling.wait_until(lambda: self.reports.get("one"))
        last_report, self.client.next_report = self.client.next_report, None
        await polling.wait_until(lambda: not self.directory.is_usable(self.one))
        self.assertTrue(self.directory.accepts_requests(self.one))
        self.assertIsNotNone(self.reports.get("one"))
        self.client.next_report = last_report
        await polling.wait_until(lambda: self.directory.is_usable(self.one))

    async def test_new_engine_is_polled_immediately(self):
        await polling.wait_until(lambda: self.reports.get("one"))
        self.directory.put(forwarding_parts.create_endpoint("two"))
        started_s = asyncio.get_running_loop().time()
        await polling.wait_until(lambda: self.reports.get("two"))
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self.assertLess(elapsed_s, _INTERVAL_S / 2)

    async def test_engine_with_a_long_run_is_polled_more_often(self):
        quiet = await self._count_polls()
        with self.in_flight.track("one", is_long=True):
            busy = await self._count_polls()
        with self.in_flight.track("one"):
            short = await self._count_polls()
        self.assertGreater(busy, 2 * quiet)
        self.assertGreater(busy, 2 * short)

    # Guards against a shutdown notice that is missed during an evacuation.
    async def test_evacuated_engine_is_polled_while_it_has_a_long_run(self):
        await polling.wait_until(lambda: self.reports.get("one"))
        with self.in_flight.track("one", is_long=True):
            self.directory.evacuated_domains.add(self.one.failure_domain)
            busy = await self._count_polls()
        await polling.wait_until(lambda: self.reports.get("one") is None)
        self.assertGreater(busy, 2)
        self.assertEqual(await self._count_polls(), 0)

    # An unresponsive engine is not among the ready endpoints while others are,
    # so nothing polled it again and this gateway lost it for good.
    async def test_unresponsive_engine_beside_others_is_usable_again(self):
        other = forwarding_parts.create_endpoint("two")
        self.directory.put(other)
        await polling.wait_until(lambda: self.reports.get("two"))
        self.client.silent = {"one"}
        await polling.wait_until(lambda: not self.directory.is_usable(self.one))
        await asyncio.sleep(2 * _INTERVAL_S)
        self.assertFalse(self.directory.is_usable(self.one))
        self.client.silent = set()
        await polling.wait_until(lambda: self.directory.is_usable(self.one))

    async def test_unresponsive_engine_that_restarts_is_usable(self):
        self.directory.put(forwarding_parts.create_endpoint("two"))
        self.client.silent = {"one"}
        await polling.wait_until(lambda: not self.directory.is_usable(self.one))
        self.client.silent = set()
        restarted = msgspec.structs.replace(
            self.one, started_unix_ms=self.one.started_unix_ms + 1
        )
        self.directory.put(restarted)
        self.assertTrue(self.directory.is_usable(restarted))
        await polling.wait_until(lambda: self.client.last_target == restarted)

    async def test_unresponsive_engine_is_forgotten_once_it_is_gone(self):
        self.directory.put(forwarding_parts.create_endpoint("two"))
        self.client.silent = {"one"}
        await polling.wait_until(lambda: not self.directory.is_usable(self.one))
        self.directory.put(
            msgspec.structs.replace(
                self.one, state=endpoint.EndpointState.LEAVING
            )
        )
        await polling.wait_until(lambda: not self.poller.polls("one"))
        await asyncio.sleep(2 * _INTERVAL_S)
        self.assertFalse(self.poller.polls("one"))

    # The address of the incarnation before was polled for good, so the new one
    # seemed unreachable and its shutdown notice was missed.
    async def test_engine_that_restarts_under_its_id_is_polled_anew(self):
        await polling.wait_until(lambda: self.reports.get("one"))
        restarted = msgspec.structs.replace(
            self.one,
            started_unix_ms=self.one.started_unix_ms + 1,
            port=self.one.port + 1,
        )
        self.directory.put(restarted)
        await polling.wait_until(lambda: self.client.last_target == restarted)
        self.client.next_report = forwarding_parts.create_report(
            is_leaving=True
        )
        await polling.wait_until(
            lambda: not self.directory.accepts_requests(restarted)
        )

    # The load of the incarnation before was taken for that of the new one until
    # a poll succeeded.
    async def test_report_of_an_earlier_incarnation_is_dropped(self):
        await polling.wait_until(lambda: self.reports.get("one"))
        self.client.next_report = None
        self.directory.put(
            msgspec.structs.replace(
                self.one, started_unix_ms=self.one.started_unix_ms + 1
            )
        )
        await polling.wait_until(lambda: self.reports.get("one") is None)

    # An unforeseen exception ended the polling of an engine for good.
    async def test_engine_is_polled_again_after_an_unforeseen_exception(self):
        await polling.wait_until(lambda: self.reports.get("one"))
        self.client.unforeseen_error = RecursionError()
        await polling.wait_until(lambda: not self.directory.is_usable(self.one))
        self.client.unforeseen_error = None
        self.client.next_report = forwarding_parts.create_report(used_tokens=7)
        await polling.wait_until(lambda: self.directory.is_usable(self.one))
        self.assertEqual(self.reports.get("one").report.used_tokens, 7)

    # A poller that ran again after a failure polled none of its engines.
    async def test_poller_that_runs_again_polls_all_engines(self):
        await polling.wait_until(lambda: self.reports.get("one"))
        await self._stop()
        await asyncio.sleep(0)
        before = self.client.count
        self.running = asyncio.create_task(self.poller.run())
        await polling.wait_until(lambda: self.client.count > before)

    async def _count_polls(self):
        await asyncio.sleep(_INTERVAL_S)
        before = self.client.count
        await asyncio.sleep(4 * _INTERVAL_S)
        return self.client.count - before
