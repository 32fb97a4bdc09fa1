"""Tests of callers that disconnect or stop reading."""

import socket
import unittest

import httpx

from tests.support import generation_case
from tools import local_deployment

_LONG_PROMPT = "#length=20000"


class CallerDisconnectTest(generation_case.GenerationCase):
    def test_disconnect_cancels_the_generation(self):
        stream = self.open_held_stream()
        stream.close()
        self.wait_until_cancelled(stream)

    def test_stalled_caller_is_cancelled(self):
        earlier_reports = self.engine_reports("shown")
        connection = self.open_stalled_connection()
        other_stream = self.open_stream()
        other_stream.read_to_end()
        self.assertTrue(other_stream.is_complete)
        self.assert_all_tokens(other_stream.tokens)
        earlier_ids = {
            generation_id
            for report in earlier_reports
            for generation_id in report
        }

        def find_cancelled():
            all_ids = {
                generation_id
                for report in self.engine_reports("shown")
                for generation_id in report
            }
            cancelled_ids = {
                generation_id
                for report in self.engine_reports("cancelled")
                for generation_id in report
            }
            return (all_ids - earlier_ids) & cancelled_ids

        self.wait_for(find_cancelled)
        connection.close()

    def open_stalled_connection(self):
        """Requests a long completion and does not read the response."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        port = self.deployment.gateways[0].http_port()
        connection.connect(("127.0.0.1", port))
        self.addCleanup(connection.close)
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
        connection.sendall(head.encode() + request.content)
        return connection


if __name__ == "__main__":
    unittest.main()
