"""Endpoint client with scripted responses, without a network."""

import asyncio

from bronzeslip import ids
from bronzeslip.endpoints import report
from bronzeslip.forwarding import body_framing
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import incoming
from tests.support import forwarding_parts


class ScriptedResponse:
    """Response with the given chunks.

    An exception among the chunks is raised, and an event is waited for.
    """

    def __init__(
        self,
        status=200,
        chunks=(),
        verdict=None,
        headers=(),
        framing=body_framing.BodyFraming.CHUNKED,
    ):
        fields = tuple(incoming.HeaderField(*field) for field in headers)
        self.head = endpoint_client.ResponseHead(
            status, fields, framing=framing
        )
        self.verdict = verdict or endpoint_client.RunVerdict.MAY_HAVE_RUN
        self.is_leaving = False
        self.is_closed = False
        self._chunks = chunks

    async def chunks(self):
        for chunk in self._chunks:
            if isinstance(chunk, Exception):
                raise chunk
            if isinstance(chunk, asyncio.Event):
                await chunk.wait()
                continue
            yield chunk

    async def read(self, max_bytes):
        body = b"".join([chunk async for chunk in self.chunks()])
        if len(body) > max_bytes:
            raise endpoint_errors.EndpointResponseLostError("too large")
        return body

    async def close(self):
        self.is_closed = True


class ScriptedEndpointClient:
    """Endpoint client that returns scripted responses for each endpoint.

    Attributes:
        sent: Dispatches in the order in which they were sent.
        copies: Pairs of source and target of the requested copies.
        dropped_copies: Pairs of engine and handle of the freed copies.
        refuses_copies: Whether requests for a copy are refused.
        absent: Endpoints at whose address no process listens.
        unresponsive: Endpoints that do not respond to control calls.
        leaving: Endpoints whose reports say that they leave.
        reported: Endpoints whose reports were read, in order.
    """

    def __init__(self, responses):
        self._responses = {
            name: list(scripted) for name, scripted in responses.items()
        }
        self.sent = []
        self.copies = []
        self.dropped_copies = []
        self.refuses_copies = False
        self.absent = set()
        self.unresponsive = set()
        self.leaving = set()
        self.reported = []

    async def send(self, outgoing):
        self.sent.append(outgoing)
        response = self._responses[outgoing.endpoint.endpoint_id].pop(0)
        if isinstance(response, Exception):
            raise response
        return response

    async def check_presence(self, target, health_path):
        if target.endpoint_id in self.absent:
            raise endpoint_errors.EndpointAbsentError("refused")
        if target.endpoint_id in self.unresponsive:
            raise endpoint_errors.EndpointResponseLostError("no response")

    async def report(self, target, must_be_own=False):
        self.reported.append(target.endpoint_id)
        if target.endpoint_id in self.unresponsive:
            raise endpoint_errors.EndpointResponseLostError("no response")
        is_leaving = target.endpoint_id in self.leaving
        return report.EngineReport(0, 0, 0, 30_000, is_leaving=is_leaving)

    async def copy_run(self, source, request_id, target, is_last, timeout_s):
        if is_last:
            # Lost responses are those of runs that have ended.
            raise endpoint_errors.EndpointNotFoundError("no such run")
        self.copies.append((source.endpoint_id, target.endpoint_id))
        if self.refuses_copies:
            raise endpoint_errors.EndpointRefusedError("no memory left")
        return endpoint_client.CopyResult(ids.HandleId("h1"), 1)

    async def drop_copy(self, holder, handle):
        self.dropped_copies.append((holder.endpoint_id, handle))

    def remove_endpoint(self, target):
        pass


class RecordedReply:
    """Reply that records what the caller would receive.

    Attributes:
        is_started: Whether the head was sent.
        head: Response head, or None before it was sent.
        body: Body sent so far.
        is_finished: Whether the body is complete.
    """

    def __init__(self):
        self.is_started = False
        self.endpoint_head = None
        self.memory = forwarding_parts.create_response_memory()
        self.is_finished = False
        self.head = None
        self.body = b""

    async def start(self, head):
        self.is_started = True
        self.head = head
        self.endpoint_head = head

    async def write(self, body):
        self.body += body

    async def finish(self):
        self.is_finished = True


def create_not_run_response(status=503):
    return ScriptedResponse(status, verdict=endpoint_client.RunVerdict.NOT_RUN)
