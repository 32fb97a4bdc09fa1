"""Connection of the stuttering endpoint stand-in."""

import asyncio
import time

import msgspec

from standins.stuttering import behavior
from standins.stuttering import repetition
from standins.stuttering import repetition_time
from standins.stuttering import request
from standins.stuttering import request_reader
from standins.stuttering import response_kind
from standins.stuttering import response_log
from standins.stuttering import sent_response
from standins.stuttering import wire_format

RESPONSES_PATH = "/standin/responses"
_HEALTH_PATH = "/health"
_REPORT_PATH = "/report"
_TARGET_INSTANCE_HEADER = "bronzeslip-target-instance"
_ATTEMPT_ID_HEADER = "bronzeslip-attempt-id"
# Only the next word of such a body is part of the response.
_DISCARDED_PREFIX = b"discard "
_Time = repetition_time.RepetitionTime


class Connection:
    """Answers the requests on one connection, some of them twice."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        endpoint_behavior: behavior.Behavior,
        log: response_log.ResponseLog,
    ) -> None:
        """Creates a connection.

        Args:
            reader: Source of requests.
            writer: Destination of responses.
            endpoint_behavior: Decides how requests are answered.
            log: Records the responses.
        """
        self._reader = reader
        self._writer = writer
        self._behavior = endpoint_behavior
        self._log = log
        # Part of a second response that precedes the next response.
        self._before_next = b""

    async def run(self) -> None:
        """Answers requests until the connection ends.

        Raises:
            OSError: If the peer has reset the connection.
            h11.RemoteProtocolError: If the peer sends no proper request.
        """
        while not self._writer.is_closing():
            received = await request_reader.read(self._reader)
            if received is None:
                return
            await self._answer(received)
            await self._writer.drain()

    async def _answer(self, received: request.Request) -> None:
        if received.path == RESPONSES_PATH:
            self._send_plain(200, msgspec.json.encode(self._log.responses))
        elif received.path == _HEALTH_PATH:
            self._send_plain(200, b"")
        elif received.path == _REPORT_PATH:
            self._send_plain(404, b"")
        else:
            await self._answer_request(received)

    def _send_plain(self, status: int, body: bytes) -> None:
        fields = [
            ("Content-Length", str(len(body))),
            ("Bronzeslip-Instance-Id", self._log.endpoint_id),
        ]
        self._writer.write(wire_format.encode_fields(status, fields, body))

    async def _answer_request(self, received: request.Request) -> None:
        request_id = received.headers.get(_ATTEMPT_ID_HEADER, "")
        print(f"arrived {request_id} {time.monotonic()}", flush=True)
        target = received.headers.get(_TARGET_INSTANCE_HEADER)
        if target != self._log.endpoint_id:
            self._send_misdirected(request_id)
            return
        kind = self._behavior.response_kind()
        if kind.has_run:
            print(f"ran {request_id}", flush=True)
        text = received.body or request_id.encode() + self._behavior.filler()
        if text.startswith(_DISCARDED_PREFIX):
            _, text, _ = text.split(b" ", 2)
        await asyncio.sleep(self._behavior.duration_s())
        body = b"ran " + text
        if kind.status != response_kind.ResponseKind.SUCCESS.status:
            body = b"%d of " % kind.status + text
        response = self._log.add(request_id, kind, body)
        encoded = wire_format.encode(response, kind, self._behavior.rng)
        if kind is response_kind.ResponseKind.CUT_SHORT:
            head_end = encoded.index(wire_format.HEAD_END)
            end = head_end + len(wire_format.HEAD_END)
            encoded = encoded[: self._behavior.rng.randrange(end, len(encoded))]
        self._writer.write(self._before_next + encoded)
        self._before_next = b""
        if kind.ends_connection:
            self._writer.close()
        else:
            self._repeat(response, kind)

    def _send_misdirected(self, request_id: str) -> None:
        fields = [
            ("Content-Length", "0"),
            ("Bronzeslip-Attempt-Id", request_id),
            ("Bronzeslip-Not-Executed", "1"),
        ]
        self._writer.write(wire_format.encode_fields(421, fields, b""))

    def _repeat(
        self,
        response: sent_response.SentResponse,
        kind: response_kind.ResponseKind,
    ) -> None:
        """Sends or prepares the second response if one is selected."""
        selected = self._behavior.repetition()
        if selected is None:
            return
        encoded = repetition.encode(
            selected, response, kind, self._behavior.rng
        )
        if selected.time is _Time.AT_ONCE:
            self._writer.write(encoded)
        elif selected.time is _Time.LATER:
            asyncio.get_running_loop().call_later(
                self._behavior.delay_s(), self._write_if_open, encoded
            )
        elif selected.time is _Time.BEFORE_NEXT:
            self._before_next = encoded
        else:
            half = len(encoded) // 2
            self._writer.write(encoded[:half])
            self._before_next = encoded[half:]

    def _write_if_open(self, encoded: bytes) -> None:
        if not self._writer.is_closing():
            self._writer.write(encoded)
