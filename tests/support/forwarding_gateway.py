"""Forwarding gateway, from the ASGI interface to scripted endpoints."""

import random

from bronzeslip.forwarding import admission
from bronzeslip.forwarding import assembly
from bronzeslip.forwarding import drain_deadline
from bronzeslip.platform import body_reader
from bronzeslip.platform import ingress
from tests.support import asgi_caller
from tests.support import forwarding_parts


class ForwardingGateway:
    """Serves requests inside the test process.

    Attributes:
        components: Components of the gateway.
        drain: Ends requests before the gateway is killed.
        memory: Budget that requests draw on.
    """

    def __init__(self, client, endpoints, memory=None):
        self.components = forwarding_parts.create_components(client, endpoints)
        request_admission = admission.Admission(
            forwarding_parts.SETTINGS, self.components.current, random.Random(1)
        )
        self.drain = drain_deadline.DrainDeadline(
            forwarding_parts.VM_CONFIG.bounds
        )
        pipeline = assembly.create_pipeline(
            self.components, request_admission, self.drain
        )
        self.memory = memory or forwarding_parts.create_memory()
        self._ingress = ingress.Ingress(
            pipeline,
            body_reader.BodyReader(self.memory, self.components.current),
            self.memory,
        )

    def adopt(self, *routes, version=1):
        """Puts a configuration with these routes in force."""
        self.components.current.adopt(
            forwarding_parts.create_table(*routes, version=version)
        )

    async def serve(self, request_id, headers=()):
        """Serves one request and returns the caller that sent it."""
        caller = asgi_caller.AsgiCaller(
            asgi_caller.create_body_message(b"secret-body")
        )
        await self.serve_scope(create_scope(request_id, headers), caller)
        return caller

    async def serve_scope(self, scope, caller):
        """Serves one request of a caller."""
        await self._ingress(scope, caller.receive, caller.send)


def create_scope(request_id, headers=()):
    """Returns the ASGI scope of a request."""
    return {
        "type": "http",
        "method": "POST",
        "target": b"/p/x",
        "raw_path": b"/p/x",
        "headers": [
            (b"host", b"h.example"),
            (b"bronzeslip-attempt-id", request_id.encode()),
            (b"bronzeslip-key", forwarding_parts.API_KEY.encode()),
            *headers,
        ],
    }
