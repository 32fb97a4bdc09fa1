"""Tests of bronzeslip.http.skipped_body."""

import unittest

import httpcore

from bronzeslip.http import skipped_body

_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"
_NEXT_HEAD = b"HTTP/1.1 500 Failed\r\n\r\n"


async def _skip(*reads):
    connection = httpcore.AsyncHTTP11Connection(
        httpcore.Origin(b"http", b"h", 80),
        httpcore.AsyncMockStream(list(reads)),
    )
    await connection.handle_async_request(
        httpcore.Request("GET", "http://h/", headers={"Host": "h"})
    )
    await skipped_body.skip(connection, None)
    return connection._h11_state.trailing_data[0]


class SkippedBodyTest(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_after_the_body_are_left(self):
        data = _HEAD + 30 * b"x" + _NEXT_HEAD
        body_end = len(_HEAD) + 30
        for split in range(len(_HEAD), len(data)):
            with self.subTest(split=split):
                unread = await _skip(data[:split], data[split:])
                received = data if split < body_end else data[:split]
                self.assertEqual(unread, received[body_end:])

    # Guards against skipping the next response as a part of a body that was cut
    # off, wherever its bytes are split.
    async def test_body_that_takes_in_the_next_response_is_invalid(self):
        for cut in range(31 - len(b"HTTP/1.1 500")):
            data = _HEAD + cut * b"x" + _NEXT_HEAD + 30 * b"y"
            for split in range(len(_HEAD), len(data)):
                with (
                    self.subTest(cut=cut, split=split),
                    self.assertRaises(httpcore.RemoteProtocolError),
                ):
                    await _skip(data[:split], data[split:])


if __name__ == "__main__":
    unittest.main()
