"""Tests that control calls get their own responses, over loopback.

A faulty engine may send a response once more after it is complete. Responses to
control calls name no request, so one must never be read in place of another.
"""

import asyncio
import unittest

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.platform import endpoint_http
from bronzeslip.platform import store_client
from bronzeslip.store import errors
from tests.support import forwarding_parts
from tests.support import raw_server

# Time in which bytes that follow a response arrive.
_ARRIVAL_S = 0.05


def _moved(handle):
    return raw_server.create_response(
        b'{"handle":"%s","create_revision":1}' % handle
    )


def _report(run_id):
    return raw_server.create_response(
        b'{"waiting":0,"running":1,"kv_used":0,"kv_total":9,'
        b'"runs":[["%s",1,1,5]]}' % run_id
    )


def _page(name):
    return raw_server.create_response(
        b'{"items":[{"metadata":{"name":"%s","revision":3},"spec":{}}],'
        b'"truncated":false,"as_of":7}' % name,
        headers=b"Store-Era: 1\r\n",
    )


class ExtraResponseTest(unittest.IsolatedAsyncioTestCase):
    async def _start_server(self, *scripts):
        self.server = raw_server.RawServer(*scripts)
        port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS,
            directory.EndpointDirectory(forwarding_parts.SETTINGS),
        )
        self.addAsyncCleanup(self.client.close)
        self.endpoint = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=port
        )
        return port

    async def _copy(self, request_id, is_last=False):
        result = await self.client.copy_run(
            self.endpoint,
            ids.RequestId(request_id),
            self.endpoint,
            is_last,
            timeout_s=1.0,
        )
        return result.handle

    # Guards against resuming a run from the copy of another one.
    async def test_response_that_comes_twice_answers_one_copy_only(self):
        await self._start_server(2 * _moved(b"h1"), _moved(b"h2"))
        self.assertEqual(await self._copy("q1"), "h1")
        self.assertEqual(await self._copy("q2"), "h2")

    # Guards against the same if the extra response comes late, when the next
    # response is due.
    async def test_each_copy_uses_a_connection_of_its_own(self):
        await self._start_server(_moved(b"h1"), _moved(b"h2"))
        self.assertEqual(await self._copy("q1"), "h1")
        self.assertEqual(await self._copy("q2"), "h2")
        self.assertEqual(self.server.connection_count, 2)

    # Guards against taking an earlier refusal for the end of a run.
    async def test_earlier_response_does_not_answer_the_call_to_stop(self):
        missing = raw_server.create_response(b"{}", b"404 Not Found")
        await self._start_server(2 * missing, _moved(b"h2"))
        with self.assertRaises(endpoint_errors.EndpointNotFoundError):
            await self._copy("q1")
        self.assertEqual(await self._copy("q2", is_last=True), "h2")

    # Guards against deciding by an old report that a run has ended.
    async def test_report_that_must_be_own_is_no_earlier_one(self):
        await self._start_server(2 * _report(b"q1"), _report(b"q2"))
        await self.client.report(self.endpoint)
        report = await self.client.report(self.endpoint, must_be_own=True)
        self.assertEqual(report.runs[0].request_id, "q2")

    # Guards against reports that lag behind by one more for each extra one.
    async def test_report_received_before_its_request_is_discarded(self):
        await self._start_server(
            2 * _report(b"q1"), _report(b"q2"), _report(b"q3")
        )
        seen = []
        for _ in range(3):
            try:
                report = await self.client.report(self.endpoint)
                seen.append(report.runs[0].request_id)
            except endpoint_errors.EndpointResponseLostError:
                seen.append(None)
            await asyncio.sleep(_ARRIVAL_S)
        self.assertNotIn("q1", seen[1:])

    # Guards against taking an extra response of the store for another object.
    async def test_extra_response_of_the_store_is_discarded(self):
        port = await self._start_server(
            2 * _page(b"first"), _page(b"second"), _page(b"second")
        )
        store = store_client.StoreClient(
            vm_config.SocketAddress("127.0.0.1", port),
            forwarding_parts.SETTINGS,
            lambda method, result: None,
        )
        self.addAsyncCleanup(store.close)
        listing = await store.list_objects("things/")
        self.assertEqual(listing.objects[0].key, "things/first")
        try:
            listing = await store.list_objects("things/")
        except errors.PlatformUnavailableError:
            listing = await store.list_objects("things/")
        self.assertEqual(listing.objects[0].key, "things/second")


if __name__ == "__main__":
    unittest.main()
