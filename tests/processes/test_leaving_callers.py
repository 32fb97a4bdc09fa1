"""Callers that leave or do not read."""

import socket
import unittest

import httpx

from tests.support import generation_case
from tools import local_deployment

_LONG_PROMPT = "#length=20000"


class LeavingCallerTest(generation_case.GenerationCase):
    def test_leaving_caller_cancels(self):
        opened = self.held_stream()
        opened.close()
        self.wait_cancelled(opened)

    def test_caller_that_does_not_read_is_given_up(self):
        shown = self.reported("shown")
        stalled = self.stalled_caller()
        other = self.stream()
        other.read_rest()
        self.assertTrue(other.is_whole)
        self.assert_whole(other.words)
        before = {name for names in shown for name in names}

        def cancelled():
            started = {
                name for names in self.reported("shown") for name in names
            }
            names = {
                name for names in self.reported("cancelled") for name in names
            }
            return (started - before) & names

        self.wait_for(cancelled)
        stalled.close()

    def stalled_caller(self):
        """Sends a request for a long answer and reads nothing."""
        stalled = socket.socket()
        stalled.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        port = self.deployment.gateways[0].http_port()
        stalled.connect(("127.0.0.1", port))
        self.addCleanup(stalled.close)
        request = httpx.Request(
            "POST",
            f"http://127.0.0.1:{port}/v1/completions",
            headers=local_deployment.caller_headers("smiths"),
            json={
                "model": generation_case.SHAPE.model,
                "prompt": _LONG_PROMPT,
                "stream": True,
            },
        )
        lines = [f"POST {request.url.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in request.headers.items()]
        head = "\r\n".join((*lines, "", ""))
        stalled.sendall(head.encode() + request.content)
        return stalled


if __name__ == "__main__":
    unittest.main()
