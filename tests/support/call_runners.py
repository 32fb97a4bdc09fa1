"""Runners of calls on plain endpoints."""

import msgspec

from bronzeslip.admission import gate
from bronzeslip.metrics import sidecar_metrics
from bronzeslip.settings import sidecar
from bronzeslip.sidecar import calls
from bronzeslip.transport.frames import call as frames


def create(endpoint_url):
    """Returns a runner of calls on the endpoint at a URL."""
    settings = sidecar.SidecarSettings(
        vm_id="vm-0",
        region="brum",
        failure_domain="brum-1",
        peer_key="key",
        platform_url="http://127.0.0.1:1",
        endpoint_id="ledger-0",
        pool="ledger",
        endpoint_url=endpoint_url,
    )
    return calls.CallRunner(
        settings,
        "incarnation",
        gate.AdmissionGate(settings),
        sidecar_metrics.SidecarMetrics(),
    )


def create_start(path, call_id="c1", **changes):
    """Returns the frame that starts an idempotent call."""
    start = frames.StartCall(
        call_id, "r1", "clerks", "awards", "GET", path, (), b"", True, 5.0
    )
    return msgspec.structs.replace(start, **changes)
