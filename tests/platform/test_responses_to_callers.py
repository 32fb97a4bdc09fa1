"""Tests of the bytes that callers receive for responses, over loopback."""

import unittest

from bronzeslip.routes import kind
from tests.support import forwarding_parts
from tests.support import loopback_gateway
from tests.support import raw_server

_IDENTITY = b"Bronzeslip-Attempt-Id: q1\r\nBronzeslip-Response-Stamp: stamp\r\n"
_SLICE = 64 * 1024 * b"x"
_SLICE_COUNT = 2 * forwarding_parts.SETTINGS.response_max_bytes // len(_SLICE)


def _chunked(fields, *parts):
    """Returns the bytes of a response whose body has these chunks."""
    chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
    return (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        + _IDENTITY
        + fields
        + b"\r\n"
        + b"".join(chunks)
        + b"0\r\n\r\n"
    )


class ResponsesToCallersTest(unittest.IsolatedAsyncioTestCase):
    async def _receive(self, *scripts):
        """Returns the head and the rest of what a caller receives."""
        self.gateway = loopback_gateway.LoopbackGateway(*scripts)
        await self.gateway.start(
            forwarding_parts.create_route(kind.RequestKind.AT_MOST_ONCE)
        )
        self.addAsyncCleanup(self.gateway.stop)
        received = await self.gateway.exchange(
            loopback_gateway.create_request()
        )
        head, _, rest = received.partition(b"\r\n\r\n")
        return head.split(b"\r\n"), rest

    # Guards against a response that looks complete after the length that its
    # endpoint stated beside the chunks.
    async def test_length_beside_chunks_does_not_end_the_response(self):
        fields = b"Content-Length: %d\r\n" % len(_SLICE)
        head, rest = await self._receive(
            _chunked(fields, *(_SLICE for _ in range(_SLICE_COUNT)))
        )
        self.assertNotIn(fields.strip().lower(), head)
        self.assertIn(b"transfer-encoding: chunked", head)
        self.assertEqual(rest.count(b"x"), _SLICE_COUNT * len(_SLICE))
        self.assertTrue(rest.endswith(b"\r\n0\r\n\r\n"))

    # Guards against closing the connection of a caller without a response.
    async def test_control_characters_in_a_head_lose_the_response(self):
        for value in (b"a\x01b", b"a\x1b[0m", b"a\x7f"):
            with self.subTest(value=value):
                head, _ = await self._receive(
                    raw_server.create_response(
                        b"own", headers=_IDENTITY + b"X-A: " + value + b"\r\n"
                    )
                )
                self.assertEqual(head[0], b"HTTP/1.1 502 Bad Gateway")

    # Guards against passing on fields that hold for the connection between
    # gateway and endpoint only.
    async def test_connection_options_of_an_endpoint_are_not_passed_on(self):
        head, _ = await self._receive(
            raw_server.create_response(
                b"own",
                headers=_IDENTITY + b"Connection: X-Hop, Upgrade\r\n"
                b"X-Hop: 1\r\nUpgrade: h2c\r\nX-End: 2\r\n",
            )
        )
        names = {line.partition(b":")[0] for line in head}
        self.assertFalse(names & {b"x-hop", b"upgrade"})
        self.assertIn(b"x-end: 2", head)
        self.assertEqual(head.count(b"connection: close"), 1)

    # Guards against a success without the stamp of its endpoint.
    async def test_stamp_is_passed_on_even_as_a_connection_option(self):
        option = b"Connection: Bronzeslip-Response-Stamp\r\n"
        head, _ = await self._receive(
            raw_server.create_response(b"own", headers=_IDENTITY + option)
        )
        self.assertIn(b"bronzeslip-response-stamp: stamp", head)

    # Guards against a body that contains an extra response, as it has neither
    # a length nor chunks.
    async def test_extra_response_is_no_part_of_an_unframed_body(self):
        unframed = b"HTTP/1.1 200 OK\r\n" + _IDENTITY + b"\r\n"
        extra = raw_server.create_response(b"late", headers=_IDENTITY)
        for body in (b"own", b""):
            with self.subTest(body=body):
                head, _ = await self._receive(unframed + body + extra)
                self.assertEqual(head[0], b"HTTP/1.1 502 Bad Gateway")

    # Guards against the same where the beginning has been passed on.
    async def test_large_unframed_body_with_an_extra_response_is_cut(self):
        unframed = b"HTTP/1.1 200 OK\r\n" + _IDENTITY + b"\r\n"
        unframed += _SLICE_COUNT * _SLICE
        extra = raw_server.create_response(b"late", headers=_IDENTITY)
        for script, is_complete in (
            (unframed, True),
            (unframed + extra, False),
        ):
            with self.subTest(is_complete=is_complete):
                _, rest = await self._receive(script)
                self.assertEqual(rest.endswith(b"\r\n0\r\n\r\n"), is_complete)
                self.assertNotIn(b"late", rest)


if __name__ == "__main__":
    unittest.main()
