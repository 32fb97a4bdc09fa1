"""Tests of bronzeslip.platform.endpoint_http over loopback."""

import asyncio
import unittest

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.forwarding import buffered_response
from bronzeslip.forwarding import dispatch
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import incoming
from bronzeslip.platform import endpoint_http
from tests.support import forwarding_parts
from tests.support import polling
from tests.support import raw_server

_MAX_BYTES = 100_000
_FAILED = b"500 Internal Server Error"
_REFUSED = b"503 Service Unavailable"
_NOT_RUN = b"Bronzeslip-Not-Executed: 1\r\n"


def _echo(request_id):
    return b"Bronzeslip-Attempt-Id: " + request_id + b"\r\n"


class EndpointHttpTest(unittest.IsolatedAsyncioTestCase):
    async def _start_server(self, *scripts):
        self.server = raw_server.RawServer(*scripts)
        port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.directory = directory.EndpointDirectory(forwarding_parts.SETTINGS)
        self.client = endpoint_http.HttpEndpointClient(
            forwarding_parts.SETTINGS, self.directory
        )
        self.addAsyncCleanup(self.client.close)
        self.endpoint = forwarding_parts.create_endpoint(
            "i-1", host="127.0.0.1", port=port
        )

    def _create_dispatch(self, request_id, **changes):
        request = forwarding_parts.create_request(
            request_id=ids.RequestId(request_id),
            target=b"/p/%41?b=%20",
            headers=(
                incoming.HeaderField(b"host", b"h.example"),
                incoming.HeaderField(b"content-length", b"4"),
            ),
        )
        fields = {
            "request": request,
            "endpoint": self.endpoint,
            "remaining_s": 1.25,
            "workspace_id": ids.WorkspaceId("w"),
        }
        return dispatch.Dispatch(**{**fields, **changes})

    async def _call(self, request_id, **changes):
        endpoint_response = await self.client.send(
            self._create_dispatch(request_id, **changes)
        )
        return await buffered_response.read(
            endpoint_response,
            _MAX_BYTES,
            forwarding_parts.create_response_memory(),
        )

    async def test_request_is_sent_byte_for_byte(self):
        await self._start_server(
            raw_server.create_response(b"ok", headers=_echo(b"q1"))
        )
        response = await self._call("q1", priority=3)
        self.assertEqual(response.body, b"ok")
        sent = self.server.requests[0].lower()
        self.assertTrue(sent.startswith(b"post /p/%41?b=%20 http/1.1\r\n"))
        self.assertTrue(sent.endswith(b"\r\n\r\nbody"))
        for line in (
            b"host: h.example",
            b"bronzeslip-deadline-ms: 1250",
            b"bronzeslip-target-instance: i-1",
            b"bronzeslip-tenant: w",
            b"bronzeslip-request-priority: 3",
        ):
            self.assertIn(line + b"\r\n", sent)

    # Guards against a success without its body, and against an error of the
    # gateway's own, as the parser takes what follows for a tunnel.
    async def test_success_of_a_connect_request_is_lost(self):
        for body in (b"", b"ok"):
            with self.subTest(body=body):
                await self._start_server(
                    raw_server.create_response(body, headers=_echo(b"q1"))
                )
                request = forwarding_parts.create_request(
                    method="CONNECT", body=b""
                )
                with self.assertRaises(
                    endpoint_errors.EndpointResponseLostError
                ):
                    await self._call("q1", request=request)

    # Guards against the same after a response that is skipped.
    async def test_success_of_a_connect_request_is_lost_after_another(self):
        failure = raw_server.create_response(
            b"", b"500 Failed", headers=_echo(b"q0")
        )
        await self._start_server(
            failure + raw_server.create_response(b"ok", headers=_echo(b"q1"))
        )
        request = forwarding_parts.create_request(method="CONNECT", body=b"")
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            await self._call("q1", request=request)

    async def test_connection_is_reused_within_the_keep_alive_timeout(self):
        await self._start_server(
            raw_server.create_response(b"a", headers=_echo(b"q1")),
            raw_server.create_response(b"b", headers=_echo(b"q2")),
        )
        await self._call("q1")
        await self._call("q2")
        self.assertEqual(self.server.connection_count, 1)

    async def _assert_not_used(self, extra):
        """Asserts that an extra response is used for no other request.

        One that was received with the response before it costs the next request
        nothing. One that stands where its own response is due does, unless the
        extra response names the request that it belongs to.
        """
        first = raw_server.create_response(b"a", headers=_echo(b"q1"))
        second = raw_server.create_response(b"b", headers=_echo(b"q2"))
        await self._start_server(first + extra, second, second)
        await self._call("q1")
        self.assertEqual((await self._call("q2")).body, b"b")
        self.assertEqual(self.server.connection_count, 2)
        await self._start_server(first, extra + second)
        await self._call("q1")
        if _echo(b"q1") in extra:
            self.assertEqual((await self._call("q2")).body, b"b")
            self.assertEqual(self.server.connection_count, 1)
            return
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            await self.client.send(self._create_dispatch("q2"))

    async def test_duplicate_response_is_not_used_for_the_next_request(self):
        await self._assert_not_used(
            raw_server.create_response(b"x", headers=_echo(b"q1"))
        )

    async def test_duplicate_response_without_an_id_is_not_used(self):
        await self._assert_not_used(raw_server.create_response(b"x"))

    async def test_duplicate_refusal_is_not_used_for_the_next_request(self):
        await self._assert_not_used(
            raw_server.create_response(b"", _REFUSED, _NOT_RUN)
        )

    # Guards against losing a response without an id because the connection
    # before it, which the HTTP client has replaced, was used.
    async def test_first_response_of_a_replaced_connection_needs_no_id(self):
        first = raw_server.create_response(b"a", headers=_echo(b"q1"))
        await self._start_server(
            first + b"rest", raw_server.create_response(b"b", _FAILED)
        )
        await self._call("q1")
        self.assertEqual((await self._call("q2")).body, b"b")
        self.assertEqual(self.server.connection_count, 2)

    async def test_refusal_on_a_new_connection_needs_no_id(self):
        await self._start_server(
            raw_server.create_response(b"", _REFUSED, _NOT_RUN)
        )
        endpoint_response = await self.client.send(self._create_dispatch("q1"))
        self.assertIs(
            endpoint_response.verdict, endpoint_client.RunVerdict.NOT_RUN
        )
        await endpoint_response.close()

    async def test_endpoint_that_states_its_own_id_is_present(self):
        id_header = b"Bronzeslip-Instance-Id: i-1\r\n"
        await self._start_server(
            raw_server.create_response(b"", headers=id_header),
            raw_server.create_response(
                b"", b"503 Service Unavailable", id_header
            ),
        )
        await self.client.check_presence(self.endpoint, "/health")
        await self.client.check_presence(self.endpoint, "/health")
        self.assertEqual(self.server.connection_count, 2)

    async def test_endpoint_whose_address_was_reassigned_is_absent(self):
        id_header = b"Bronzeslip-Instance-Id: i-2\r\n"
        await self._start_server(
            raw_server.create_response(b"", headers=id_header)
        )
        with self.assertRaises(endpoint_errors.EndpointAbsentError):
            await self.client.check_presence(self.endpoint, "/health")

    async def test_endpoint_whose_port_is_closed_is_absent(self):
        await self._start_server()
        await self.server.stop()
        with self.assertRaises(endpoint_errors.EndpointAbsentError):
            await self.client.check_presence(self.endpoint, "/health")

    async def test_silent_endpoint_is_not_reported_as_absent(self):
        await self._start_server(raw_server.NO_RESPONSE)
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            await self.client.check_presence(self.endpoint, "/health")

    async def test_early_response_does_not_truncate_a_long_request_body(self):
        await self._start_server(
            raw_server.create_response(b"", _REFUSED, _NOT_RUN + _echo(b"q1")),
            raw_server.create_response(b"b", headers=_echo(b"q2")),
        )
        self.server.body_read_delay_s = 0.1
        body = bytes(range(256)) * 40_000
        endpoint_response = await self.client.send(
            self._create_long_dispatch("q1", body)
        )
        self.assertIs(
            endpoint_response.verdict, endpoint_client.RunVerdict.NOT_RUN
        )
        await endpoint_response.close()
        endpoint_response = await self.client.send(
            self._create_long_dispatch("q2", body)
        )
        response = await buffered_response.read(
            endpoint_response,
            _MAX_BYTES,
            forwarding_parts.create_response_memory(),
        )
        self.assertEqual(response.body, b"b")
        await polling.wait_until(lambda: len(self.server.requests) == 2)
        for request in self.server.requests:
            self.assertTrue(request.endswith(b"\r\n\r\n" + body))

    def _create_long_dispatch(self, request_id, body):
        request = forwarding_parts.create_request(
            request_id=ids.RequestId(request_id),
            headers=(
                incoming.HeaderField(b"host", b"h.example"),
                incoming.HeaderField(
                    b"content-length", str(len(body)).encode()
                ),
            ),
            body=body,
        )
        return self._create_dispatch(request_id, request=request)

    async def test_truncated_response_raises(self):
        truncated_response = raw_server.create_response(
            b"abc", headers=_echo(b"q1")
        )[:-1]
        await self._start_server(
            truncated_response.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
        )
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            await self._call("q1")

    async def test_malformed_response_raises(self):
        await self._start_server(b"connection: close rubbish\r\n\r\n")
        with self.assertRaises(endpoint_errors.EndpointResponseLostError):
            await self._call("q1")

    # Guards against a status that can't be passed on to the caller.
    async def test_response_with_an_invalid_status_raises(self):
        for status in (b"999 X", b"600 X", b"099 X"):
            await self._start_server(
                raw_server.create_response(b"abc", status, _echo(b"q1"))
            )
            with (
                self.subTest(status=status),
                self.assertRaises(endpoint_errors.EndpointResponseLostError),
            ):
                await self._call("q1")

    async def test_closed_port_is_unreachable(self):
        await self._start_server()
        await self.server.stop()
        with self.assertRaises(endpoint_errors.EndpointUnreachableError):
            await self._call("q1")

    async def test_response_without_a_length_ends_with_its_connection(self):
        await self._start_server(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
            + _echo(b"q1")
            + b"\r\nunframed"
        )
        response = await self._call("q1")
        self.assertEqual(response.body, b"unframed")

    async def test_head_says_how_the_end_of_the_body_is_marked(self):
        for status, fields, expected in (
            (b"200 OK", b"Content-Length: 0\r\n\r\n", "length"),
            (b"204 No Content", b"\r\n", "length"),
            (
                b"200 OK",
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "chunked",
            ),
            (b"200 OK", b"Connection: close\r\n\r\n", "connection-end"),
        ):
            with self.subTest(status=status, expected=expected):
                head = b"HTTP/1.1 " + status + b"\r\n" + _echo(b"q1")
                await self._start_server(head + fields)
                response = await self._call("q1")
                self.assertEqual(response.head.framing.value, expected)

    async def test_call_to_a_silent_endpoint_can_be_cancelled(self):
        await self._start_server(raw_server.NO_RESPONSE)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.1):
                await self._call("q1")

    async def test_nothing_is_kept_of_replaced_endpoints(self):
        await self._start_server()
        for number in range(500):
            gone = forwarding_parts.create_endpoint(
                f"i-{number}", host="127.0.0.1", port=1
            )
            with self.assertRaises(endpoint_errors.EndpointError):
                await self.client.report(gone)
            self.client.remove_endpoint(gone)
        await polling.wait_until(lambda: not self.client._closing_tasks)
        self.assertEqual(self.client._pools, {})
        self.assertEqual(self.client._control_pools, {})
