"""Tests of bronzeslip.platform.endpoint_announcements over loopback."""

import asyncio
import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.platform import endpoint_http
from tests.support import forwarding_parts
from tests.support import log_capture
from tests.support import raw_server

_SERVICE = ids.ServiceName("pool")
_ECHO = b"Bronzeslip-Attempt-Id: q1\r\n"
_NOT_RUN = _ECHO + b"Bronzeslip-Not-Executed: 1\r\n"
_LEAVING = b"Server-Leaving: 1\r\n"
_REPORT = b'{"waiting":0,"running":0,"kv_used":0,"kv_total":9}'
_COPY = b'{"handle":"h","create_revision":1}'
_BUSY = b"503 Service Unavailable"


class _AnnouncementCase(unittest.IsolatedAsyncioTestCase):
    async def _start(self, *scripts):
        self.server = raw_server.RawServer(*scripts)
        port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.directory = directory.EndpointDirectory(forwarding_parts.SETTINGS)
        self.client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS, self.directory
        )
        self.addAsyncCleanup(self.client.close)
        self.endpoint = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=port, started_unix_ms=1
        )
        self.other = forwarding_parts.create_endpoint("i-2")
        self.directory.replace_all([self.endpoint, self.other])

    async def _send(self):
        response = await self.client.send(
            dispatch.Dispatch(
                request=forwarding_parts.create_request(),
                endpoint=self.endpoint,
                remaining_s=1.0,
            )
        )
        await response.close()


class ColdAnnouncementTest(_AnnouncementCase):
    async def test_only_usable_times_of_the_endpoint_count(self):
        service = msgspec.structs.replace(
            forwarding_parts.ENGINE_SERVICE, cold_per_s=29.0
        )
        for stated, expected_s in ((b"700", 0.7), (b"-1", 0), (b"x" * 99, 0)):
            with self.subTest(stated=stated):
                await self._start(
                    raw_server.create_response(
                        b"",
                        b"200 OK",
                        b"Bronzeslip-Cold-Ms: " + stated + b"\r\n",
                    )
                )
                cold = self.directory.cold_endpoints
                cold.replace_all([(self.endpoint, 1)])
                await self.client.check_presence(self.endpoint, "/health")
                self.assertAlmostEqual(
                    cold.remaining_s("i-1", service), expected_s, delta=0.1
                )


class AnnouncementTest(_AnnouncementCase):
    async def _refuse(self, retry_after):
        await self._start(
            raw_server.create_response(
                b"", _BUSY, _NOT_RUN + b"Retry-After: " + retry_after + b"\r\n"
            )
        )
        await self._send()

    @property
    def _ready(self):
        return {
            ready.endpoint_id
            for ready in self.directory.ready_endpoints(_SERVICE)
        }

    async def test_leaving_in_any_response_is_recorded(self):
        calls = {
            "request": (b"ok", _ECHO, self._send),
            "report": (
                _REPORT,
                b"",
                lambda: self.client.report(self.endpoint),
            ),
            "health check": (
                b"",
                b"",
                lambda: self.client.check_presence(self.endpoint, "/health"),
            ),
            "copy": (
                _COPY,
                b"",
                lambda: self.client.copy_run(
                    self.endpoint, ids.RequestId("q"), self.other, False, 1.0
                ),
            ),
            "drop": (
                b"",
                b"",
                lambda: self.client.drop_copy(self.endpoint, ids.HandleId("h")),
            ),
        }
        for name, (body, headers, call) in calls.items():
            with self.subTest(name):
                await self._start(
                    raw_server.create_response(body, headers=headers + _LEAVING)
                )
                await call()
                self.assertEqual(self._ready, {"i-2"})

    async def test_response_without_the_header_does_not_end_it(self):
        await self._start(
            raw_server.create_response(b"ok", headers=_ECHO + _LEAVING),
            raw_server.create_response(b"ok", headers=_ECHO),
        )
        await self._send()
        await self._send()
        self.assertEqual(self._ready, {"i-2"})

    async def test_new_incarnation_ends_it(self):
        await self._start(
            raw_server.create_response(b"ok", headers=_ECHO + _LEAVING)
        )
        await self._send()
        self.directory.put(self.endpoint)
        self.assertEqual(self._ready, {"i-2"})
        self.directory.put(
            forwarding_parts.create_endpoint(
                "i-1", host="127.0.0.1", port=1, started_unix_ms=2
            )
        )
        self.assertEqual(self._ready, {"i-1", "i-2"})

    async def test_entry_that_lapses_and_returns_is_still_leaving(self):
        await self._start(
            raw_server.create_response(b"ok", headers=_ECHO + _LEAVING)
        )
        await self._send()
        self.directory.remove(self.endpoint.endpoint_id)
        self.directory.put(self.endpoint)
        self.assertEqual(self._ready, {"i-2"})

    async def test_header_of_another_endpoint_at_the_address_is_ignored(self):
        await self._start(
            raw_server.create_response(
                b"",
                b"421 Misdirected Request",
                _NOT_RUN + _LEAVING + b"Bronzeslip-Instance-Id: i-9\r\n",
            )
        )
        await self._send()
        self.assertEqual(self._ready, {"i-1", "i-2"})

    async def test_endpoint_that_asks_for_a_pause_is_not_called(self):
        await self._refuse(b"0.3")
        self.assertEqual(self._ready, {"i-2"})
        for call in (
            self._send,
            lambda: self.client.report(self.endpoint),
            lambda: self.client.check_presence(self.endpoint, "/health"),
            lambda: self.client.copy_run(
                self.endpoint, ids.RequestId("q"), self.other, False, 1.0
            ),
        ):
            with self.assertRaises(endpoint_errors.EndpointRefusedError):
                await call()
        self.assertEqual(len(self.server.requests), 1)
        await asyncio.sleep(0.35)
        self.assertEqual(self._ready, {"i-1", "i-2"})

    async def test_pause_applies_to_one_incarnation(self):
        await self._refuse(b"60")
        self.directory.put(
            forwarding_parts.create_endpoint(
                "i-1", host="127.0.0.1", port=1, started_unix_ms=2
            )
        )
        self.assertEqual(self._ready, {"i-1", "i-2"})

    async def test_later_response_replaces_the_pause(self):
        await self._refuse(b"60")
        self.directory.pause(self.endpoint, 0.0)
        self.assertEqual(self._ready, {"i-1", "i-2"})

    async def test_unreadable_delays_are_ignored(self):
        for text in (
            b"",
            b"-1",
            b"soon",
            b"nan",
            b"inf",
            b"1e308",
            b"Fri, 04 Dec 2026",
        ):
            with self.subTest(text):
                await self._refuse(text)
                self.assertEqual(self._ready, {"i-1", "i-2"})

    async def test_shortest_pause_of_a_service(self):
        await self._start()
        self.directory.pause(self.endpoint, 8.0)
        self.directory.pause(self.other, 4.0)
        self.assertEqual(self.directory.ready_endpoints(_SERVICE), ())
        self.assertAlmostEqual(
            self.directory.shortest_pause_s(_SERVICE), 4.0, delta=0.1
        )


class RequestLimitTest(_AnnouncementCase):
    @property
    def _rate_per_s(self):
        return self.directory.request_limits.rate_of(self.endpoint)

    async def _respond(self, *values, status=b"200 OK"):
        """Sends a request for each value that a response states, or None."""
        await self._start(
            *(
                raw_server.create_response(
                    b"ok",
                    status,
                    _ECHO
                    if value is None
                    else _ECHO + b"Server-Limit: " + value + b"\r\n",
                )
                for value in values
            )
        )
        for _ in values:
            await self._send()

    async def test_stated_limit_is_recorded(self):
        for text, rate_per_s in ((b"1.8", 1.8), (b"12", 12.0), (b"0", 0.0)):
            with self.subTest(text):
                await self._respond(text)
                self.assertEqual(self._rate_per_s, rate_per_s)

    async def test_unreadable_limits_are_ignored(self):
        for text in (
            *(b"", b"-1", b"many", b"nan", b"inf", b"1e3", b"1_0", b"0x2"),
            *(b".5", b"1.", b"1.8, 1.8", b"\xd9\xa1", b"9" * 400),
        ):
            with self.subTest(text):
                await self._respond(text)
                self.assertIsNone(self._rate_per_s)

    # Guards against a number of 400 digits that was taken for an infinite rate,
    # with which a coordinator grants no permit for the endpoint any more.
    async def test_limits_that_are_too_large_are_ignored(self):
        await self._respond(b"9" * 400)
        self.assertIsNone(self._rate_per_s)

    async def test_unreadable_limit_leaves_the_stated_one_in_force(self):
        await self._respond(b"1.8", b"many")
        self.assertEqual(self._rate_per_s, 1.8)

    async def test_later_limit_replaces_the_earlier_one(self):
        await self._respond(b"1.8", b"3")
        self.assertEqual(self._rate_per_s, 3.0)

    async def test_response_without_a_limit_ends_it(self):
        await self._respond(b"1.8", None)
        self.assertIsNone(self._rate_per_s)

    async def test_error_without_a_limit_does_not_end_it(self):
        await self._start(
            raw_server.create_response(
                b"ok", headers=_ECHO + b"Server-Limit: 1.8\r\n"
            ),
            raw_server.create_response(b"", b"500 Internal Error", _ECHO),
        )
        await self._send()
        await self._send()
        self.assertEqual(self._rate_per_s, 1.8)

    async def test_response_to_an_earlier_request_does_not_end_it(self):
        await self._respond(b"1.8")
        self.directory.request_limits.end(
            self.endpoint, asyncio.get_running_loop().time() - 0.5
        )
        self.assertEqual(self._rate_per_s, 1.8)

    async def test_report_states_a_limit_but_does_not_end_it(self):
        await self._start(
            raw_server.create_response(_REPORT, headers=b"Server-Limit: 2\r\n"),
            raw_server.create_response(_REPORT),
        )
        await self.client.report(self.endpoint)
        await self.client.report(self.endpoint)
        self.assertEqual(self._rate_per_s, 2.0)

    async def test_new_incarnation_ends_it(self):
        await self._respond(b"1.8")
        restarted = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=1, started_unix_ms=2
        )
        self.directory.put(restarted)
        self.assertIsNone(self._rate_per_s)
        self.assertIsNone(self.directory.request_limits.rate_of(restarted))
        self.assertEqual(self.directory.request_limits.limited_count(), 0)

    async def test_late_response_of_a_gone_incarnation_is_ignored(self):
        await self._start(
            raw_server.create_response(
                b"ok", headers=_ECHO + b"Server-Limit: 1.8\r\n"
            )
        )
        gone = self.endpoint
        restarted = forwarding_parts.create_endpoint(
            "i-1", host=gone.host, port=gone.port, started_unix_ms=2
        )
        self.directory.put(restarted)
        self.directory.request_limits.state(restarted, 3.0)
        await self._send()
        limits = self.directory.request_limits
        self.assertEqual(limits.rate_of(restarted), 3.0)
        self.assertIsNone(limits.rate_of(gone))

    async def test_limit_of_another_endpoint_at_the_address_is_ignored(self):
        await self._respond(b"1.8", status=b"421 Misdirected Request")
        self.assertIsNone(self._rate_per_s)


class LoadStatementTest(_AnnouncementCase):
    async def _respond(self, *values):
        await self._start(
            *(
                raw_server.create_response(
                    b"ok",
                    headers=_ECHO
                    if value is None
                    else _ECHO + b"Bronzeslip-Server-Load: " + value + b"\r\n",
                )
                for value in values
            )
        )
        for _ in values:
            await self._send()

    @property
    def _latest(self):
        return self.directory.load_statements.latest(self.endpoint)

    async def test_load_of_responses_is_recorded(self):
        await self._respond(b"3,1,24,130")
        self.assertEqual((self._latest.waiting, self._latest.pace), (1, 1.3))

    async def test_load_of_health_checks_is_recorded(self):
        await self._start(
            raw_server.create_response(
                b"", headers=b"Bronzeslip-Server-Load: 3,1,24,130\r\n"
            )
        )
        await self.client.check_presence(self.endpoint, "/health")
        self.assertEqual(self._latest.running, 3)

    # Guards against a false header that replaces or ends what is known, and
    # against one that fails the response it came with.
    async def test_malformed_or_missing_load_changes_nothing(self):
        with log_capture.capture() as captured:
            await self._respond(b"3,1,24,130", b"3,1,24,nan", None)
        self.assertEqual(self._latest.pace, 1.3)
        captured.single("load.unusable_statement", reason="malformed")

    async def test_load_of_a_gone_incarnation_is_ignored(self):
        await self._start(
            raw_server.create_response(
                b"ok", headers=_ECHO + b"Bronzeslip-Server-Load: 3,1,24\r\n"
            )
        )
        self.directory.put(
            forwarding_parts.create_endpoint(
                "i-1", host="127.0.0.1", port=1, started_unix_ms=2
            )
        )
        await self._send()
        self.assertIsNone(self._latest)


class RestoredDirectoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = directory.EndpointDirectory(forwarding_parts.SETTINGS)
        self.one = forwarding_parts.create_endpoint("one", started_unix_ms=5)
        self.two = forwarding_parts.create_endpoint("two", started_unix_ms=5)
        self.directory.replace_all([self.one, self.two])

    @property
    def _ready(self):
        return {
            ready.endpoint_id
            for ready in self.directory.ready_endpoints(_SERVICE)
        }

    async def test_endpoint_that_the_copy_lacks_is_kept_for_the_grace_period(
        self,
    ):
        self.directory.mark_source_restored()
        self.directory.replace_all([self.one])
        self.assertEqual(self._ready, {"one", "two"})
        self.directory.put(self.two)
        await asyncio.sleep(2 * forwarding_parts.SETTINGS.lapse_grace_s)
        self.assertEqual(self._ready, {"one", "two"})

    async def test_endpoint_that_does_not_return_is_dropped(self):
        self.directory.mark_source_restored()
        self.directory.replace_all([self.one])
        await asyncio.sleep(2 * forwarding_parts.SETTINGS.lapse_grace_s)
        self.assertEqual(self._ready, {"one"})

    async def test_endpoint_that_was_draining_is_not_ready_again(self):
        self.directory.put(
            forwarding_parts.create_endpoint(
                "two",
                started_unix_ms=5,
                state=endpoint.EndpointState.LEAVING,
            )
        )
        self.directory.mark_source_restored()
        self.directory.replace_all([self.one, self.two])
        self.assertEqual(self._ready, {"one"})

    async def test_endpoint_that_was_removed_stays_away_until_it_writes(self):
        await asyncio.sleep(2 * forwarding_parts.SETTINGS.lapse_grace_s)
        self.directory.remove(self.two.endpoint_id)
        self.directory.mark_source_restored()
        self.directory.replace_all([self.one, self.two])
        self.assertEqual(self._ready, {"one"})
        self.directory.put(self.two)
        self.assertEqual(self._ready, {"one", "two"})

    async def test_older_incarnation_does_not_replace_a_newer_one(self):
        self.directory.mark_source_restored()
        older = forwarding_parts.create_endpoint("two", started_unix_ms=3)
        self.directory.replace_all([self.one, older])
        self.assertEqual(
            self.directory.get(self.two.endpoint_id).started_unix_ms, 5
        )


if __name__ == "__main__":
    unittest.main()
