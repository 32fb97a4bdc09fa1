"""Forwarding gateway, from the ASGI interface to scripted endpoints."""

import random

from bronzeslip.forwarding import admission
from bronzeslip.forwarding import assembly
from bronzeslip.forwarding import drain_deadline
from bronzeslip.platform import ingress
from tests.support import asgi_caller
from tests.support import forwarding_parts


class ForwardingGateway:
    """Serves requests inside the test process.

    Attributes:
        components: Components of the gateway.
        drain: Ends requests before the gateway is killed.
    """

    def __init__(self, client, endpoints):
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
        self._ingress = ingress.Ingress(pipeline, self.components.current)

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
        scope = {
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
        await self._ingress(scope, caller.receive, caller.send)
        return caller
