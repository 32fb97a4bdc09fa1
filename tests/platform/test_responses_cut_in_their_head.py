"""Tests of endpoints that stop inside the head of a response, over loopback."""

import unittest

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import buffered_response
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.platform import endpoint_http
from bronzeslip.platform import store_client
from bronzeslip.store import errors
from tests.support import forwarding_parts
from tests.support import raw_server

_STAMPED = (
    b"HTTP/1.1 200 OK\r\n"
    b"Bronzeslip-Attempt-Id: q2\r\n"
    b"Bronzeslip-Response-Stamp: stamp\r\n"
)
_HEADS = {
    "length": _STAMPED + b"Content-Length: 2\r\n\r\n",
    "chunks": _STAMPED + b"Transfer-Encoding: chunked\r\n\r\n",
    "end of the connection": _STAMPED + b"\r\n",
    "after an interim head": (
        b"HTTP/1.1 100 Continue\r\n\r\n" + _STAMPED + b"\r\n"
    ),
}
# A whole chunk, then the last one with a trailer.
_CHUNKED_BODY = b"2\r\nok\r\n0\r\nX-Trailer: t\r\n\r\n"
_WHOLE = raw_server.create_response(
    b"ok", headers=b"Bronzeslip-Attempt-Id: q1\r\n"
)
_MAX_BYTES = 1000


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    async def _start_server(self, *scripts):
        self.server = raw_server.RawServer(*scripts)
        port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        return port

    async def _start_endpoint(self, *scripts):
        port = await self._start_server(*scripts)
        self.client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS,
            directory.EndpointDirectory(forwarding_parts.SETTINGS),
        )
        self.addAsyncCleanup(self.client.close)
        self.endpoint = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=port
        )

    async def _call(self, request_id):
        request = forwarding_parts.create_request(
            request_id=ids.RequestId(request_id)
        )
        response = await self.client.send(
            dispatch.Dispatch(
                request=request, endpoint=self.endpoint, remaining_s=2.0
            )
        )
        return await buffered_response.read(
            response, _MAX_BYTES, forwarding_parts.create_response_memory()
        )

    async def _assert_lost(self, script, is_kept):
        if is_kept:
            await self._start_endpoint(_WHOLE, script)
            self.assertEqual((await self._call("q1")).body, b"ok")
        else:
            await self._start_endpoint(script)
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            await self._call("q2")
        self.assertEqual(self.server.connection_count, 1)

    # Guards against passing on a success whose head was cut off as one with an
    # empty or short body.
    async def test_response_cut_in_its_head_is_lost(self):
        for name, head in _HEADS.items():
            for cut in range(len(head)):
                with self.subTest(name, cut=cut):
                    await self._assert_lost(head[:cut], is_kept=False)

    # Guards against the same on a connection that was used before.
    async def test_response_cut_in_its_head_is_lost_on_a_kept_connection(self):
        for name, head in _HEADS.items():
            for cut in range(1, len(head), 7):
                with self.subTest(name, cut=cut):
                    await self._assert_lost(head[:cut], is_kept=True)

    # Guards against ending a response whose last chunk or trailer was cut off.
    async def test_response_cut_in_its_trailer_is_lost(self):
        head = _HEADS["chunks"]
        for cut in range(len(_CHUNKED_BODY)):
            with self.subTest(cut=cut):
                await self._assert_lost(
                    head + _CHUNKED_BODY[:cut], is_kept=False
                )

    # Guards against taking a cut head for an empty report or an empty store.
    async def test_control_calls_and_calls_to_the_store_fail(self):
        head = b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 2\r\n\r\n"
        for cut in range(0, len(head), 5):
            with self.subTest(cut=cut):
                await self._start_endpoint(head[:cut])
                with self.assertRaises(
                    endpoint_errors.EndpointResponseLostError
                ):
                    await self.client.report(self.endpoint)
                store = store_client.StoreClient(
                    vm_config.SocketAddress(
                        "127.0.0.1", await self._start_server(head[:cut])
                    ),
                    forwarding_parts.SETTINGS,
                    lambda method, result: None,
                )
                self.addAsyncCleanup(store.close)
                with self.assertRaises(errors.PlatformUnavailableError):
                    await store.list_objects("things/")


if __name__ == "__main__":
    unittest.main()
