"""Loopback server whose responses never end, and the check of its callers."""

import asyncio
import re
import resource
import time

_ID_FIELD = b"Bronzeslip-Attempt-Id: "
_ID = b"q1"
_REQUEST_ID = re.compile(rb"(?i)\r\nbronzeslip-attempt-id: *([^\r]+)")
HEAD = b"HTTP/1.1 200 OK\r\n" + _ID_FIELD + _ID + b"\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"x" * 60_000
CHUNK = b"ea60\r\n" + FILLER + b"\r\n"

# Memory that one endless response may cost its reader.
_MAX_GROWTH_KB = 32_768
CALL_TIMEOUT_S = 3.0

# First bytes, then bytes that are repeated without end.
HEADS = {
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "headers": (HEAD, b"X-Filler: " + FILLER + b"\r\n"),
    "one header": (HEAD + b"X-Filler: ", FILLER),
    "bytes that are no head": (b"", FILLER),
}
BODIES = {
    "body without length": (HEAD + b"\r\n", FILLER),
    "body of gigabytes": (
        HEAD + b"Content-Length: 9000000000\r\n\r\n",
        FILLER,
    ),
    "chunks": (HEAD + CHUNKED, CHUNK),
    "chunk size": (HEAD + CHUNKED, b"0" * 60_000),
    "trailers": (
        HEAD + CHUNKED + b"0\r\n",
        b"X-Filler: " + FILLER + b"\r\n",
    ),
}
HEADS_AND_BODIES = HEADS | BODIES
SLOW = {
    "slow interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "slow head": (HEAD + b"X-Filler: ", b"x"),
    "slow body": (HEAD + b"\r\n", b"x"),
}


class EndlessServer:
    """Responds to each request with bytes that never end.

    Attributes:
        first: First bytes of each response.
        repeated: Bytes that are repeated without end.
        pause_s: Pause between the repetitions, in seconds.
        echoes_ids: Whether responses name the requests that they answer.
    """

    def __init__(self):
        self.first = b""
        self.repeated = b""
        self.pause_s = 0.0
        self.echoes_ids = True
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(self._named(self.first, head))
            while True:
                writer.write(self.repeated)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        except (
            ConnectionError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
        ):
            pass
        finally:
            writer.close()

    def _named(self, response, request_head):
        """Returns a response with the id of a request, if that has one."""
        request_id = _REQUEST_ID.search(request_head)
        if request_id is None or not self.echoes_ids:
            return response
        return response.replace(_ID_FIELD + _ID, _ID_FIELD + request_id[1])

    def play(self, script, pause_s=0.0):
        """Sets the bytes of the responses to come.

        Args:
            script: First bytes, and bytes that are repeated without end.
            pause_s: Pause between the repetitions, in seconds.
        """
        self.first, self.repeated = script
        self.pause_s = pause_s


async def assert_bounded(test, call, error, max_growth_kb=_MAX_GROWTH_KB):
    """Checks that a call fails in bounded time and memory.

    Args:
        test: Test case.
        call: Returns the coroutine of the call.
        error: Expected exception.
        max_growth_kb: Memory that the call may cost, in kilobytes.
    """
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    started_s = time.monotonic()
    with test.assertRaises(error):
        await asyncio.wait_for(call(), 2 * CALL_TIMEOUT_S)
    test.assertLess(time.monotonic() - started_s, CALL_TIMEOUT_S)
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    test.assertLess(after_kb - before_kb, max_growth_kb)
