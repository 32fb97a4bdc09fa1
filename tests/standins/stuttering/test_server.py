"""Tests of the stuttering endpoint stand-in as a process."""

import http.client
import unittest

import httpx
import msgspec

from standins.stuttering import connection
from standins.stuttering import sent_response
from tools import local_process

_ENDPOINT_ID = "i-1"
_REQUEST_COUNT = 40


class ServerTest(unittest.TestCase):
    def setUp(self):
        # Each request gets a connection of its own.
        self.client = httpx.Client(
            limits=httpx.Limits(max_keepalive_connections=0)
        )
        self.addCleanup(self.client.close)

    def _start(self, seed, *flags):
        process = local_process.LocalProcess(
            "standins.stuttering",
            f"--endpoint-id={_ENDPOINT_ID}",
            f"--seed={seed}",
            *flags,
        )
        self.addCleanup(process.stop)
        return process

    def _send(
        self, process, request_id, endpoint_id=_ENDPOINT_ID, content=b"x"
    ):
        return self.client.post(
            f"{process.http_url()}/calls/",
            headers={
                "Bronzeslip-Attempt-Id": request_id,
                "Bronzeslip-Target-Instance": endpoint_id,
            },
            content=content,
        )

    def _record(self, process):
        content = self.client.get(
            f"{process.http_url()}{connection.RESPONSES_PATH}"
        ).content
        return msgspec.json.decode(
            content, type=list[sent_response.SentResponse]
        )

    def test_record_holds_what_was_sent(self):
        process = self._start("1", "--repetition-share=0")
        received = {}
        for number in range(_REQUEST_COUNT):
            try:
                response = self._send(process, f"q{number}")
            except httpx.RemoteProtocolError:
                continue
            received[f"q{number}"] = response
        sent = {item.request_id: item for item in self._record(process)}
        self.assertEqual(len(sent), _REQUEST_COUNT)
        self.assertGreater(len(received), _REQUEST_COUNT // 2)
        for request_id, response in received.items():
            item = sent[request_id]
            self.assertEqual(response.status_code, item.status)
            self.assertEqual(response.content, item.body)
            self.assertEqual(
                response.headers["Bronzeslip-Response-Stamp"], item.stamp
            )
            self.assertEqual(
                "Bronzeslip-Not-Executed" in response.headers, not item.has_run
            )

    def test_same_seed_selects_the_same_responses(self):
        records = []
        for seed in ("1", "1", "2"):
            process = self._start(seed)
            for number in range(_REQUEST_COUNT):
                try:
                    self._send(process, f"q{number}")
                except httpx.RemoteProtocolError:
                    continue
            records.append(self._record(process))
        self.assertEqual(records[0], records[1])
        self.assertNotEqual(records[0], records[2])

    def test_broken_off_response_precedes_the_next_one(self):
        process = self._start(
            "1", "--repetition-share=1", "--broken-off-share=1"
        )
        unreadable_count = 0
        for number in range(_REQUEST_COUNT):
            client = http.client.HTTPConnection(
                "127.0.0.1", process.http_port(), timeout=0.3
            )
            for request_number in range(2):
                headers = {
                    "Bronzeslip-Attempt-Id": f"q{number}-{request_number}",
                    "Bronzeslip-Target-Instance": _ENDPOINT_ID,
                }
                try:
                    client.request("POST", "/calls/", b"x", headers)
                    response = client.getresponse()
                    response.read()
                    stamp = response.getheader("Bronzeslip-Response-Stamp")
                    id_fields = response.headers.get_all(
                        "Bronzeslip-Attempt-Id", []
                    )
                except (http.client.HTTPException, OSError):
                    unreadable_count += 1
                    break
                if response.will_close:
                    break
                if request_number and (
                    stamp is None or id_fields != [f"q{number}-1"]
                ):
                    unreadable_count += 1
            client.close()
        self.assertGreater(unreadable_count, 0)

    def test_discarded_part_of_a_body_is_not_sent_back(self):
        process = self._start("1", "--repetition-share=0")
        response = self._send(process, "q1", content=b"discard q1 xx x")
        self.assertEqual(response.content, b"ran q1")

    def test_request_for_another_endpoint_is_not_run(self):
        process = self._start("1")
        response = self._send(process, "q1", "i-2")
        self.assertEqual(response.status_code, 421)
        self.assertEqual(response.headers["Bronzeslip-Not-Executed"], "1")
        self.assertEqual(self._record(process), [])


if __name__ == "__main__":
    unittest.main()
