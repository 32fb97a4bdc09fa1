"""Assembles the explainer of a gateway."""

from collections.abc import Callable
import random

from bronzeslip.endpoints import watched_endpoints
from bronzeslip.entry import vm_config
from bronzeslip.explanation import endpoint_viewer
from bronzeslip.explanation import explainer
from bronzeslip.forwarding import admission
from bronzeslip.forwarding import components
from bronzeslip.forwarding import connection_share
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import gateway_count


def create(
    this_vm: vm_config.VmConfig,
    shared: components.ForwardingComponents,
    gateways: gateway_count.GatewayCount,
    http_status: Callable[[errors.ForwardingError], int],
) -> explainer.Explainer:
    """Creates an explainer.

    It has its own source of random numbers, so that explanations do not change
    the choices of the gateway.

    Args:
        this_vm: This gateway.
        shared: Components of the gateway.
        gateways: Number of running gateways.
        http_status: Returns the status of the response to a refusal.
    """
    rng = random.Random()
    return explainer.Explainer(
        this_vm,
        shared,
        admission.Admission(shared.settings, shared.current, rng),
        endpoint_viewer.EndpointViewer(
            this_vm,
            shared,
            watched_endpoints.WatchedEndpoints(
                shared.settings, this_vm, shared.endpoints, shared.current
            ),
            connection_share.ConnectionShare(
                shared.settings, shared.endpoints, shared.in_flight, gateways
            ),
        ),
        http_status,
        rng,
    )
