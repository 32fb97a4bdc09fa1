"""Stand-ins that run inside the test process, and clients for them."""

import httpx

from bronzeslip.engine import client as engine_client
from bronzeslip.store import client as platform_client
from standins.engine import app as engine_app
from standins.engine import model
from standins.engine import orders
from standins.platform import app as platform_app
from standins.platform import vm_list

_TIMEOUT_S = 2.0


def create_platform_and_client():
    """Returns a platform stand-in and a client for it."""
    standin = platform_app.PlatformStandin()
    return standin, create_platform_client(standin)


def create_platform_client(standin):
    """Returns another client for a platform stand-in."""
    transport = httpx.ASGITransport(standin.app())
    return platform_client.PlatformClient(
        "http://platform", _TIMEOUT_S, transport
    )


def vm_list_without_lag():
    """Returns a VM list that shows changes immediately."""
    return vm_list.VmList(0.0)


def create_engine_and_client(checks_fencing):
    """Returns an engine stand-in and a client for it."""
    standin = engine_app.EngineStandin(
        model.EngineParameters(),
        orders.OrderProcessor("tin-drafter", checks_fencing),
    )
    transport = httpx.ASGITransport(standin.app())
    return standin, engine_client.EngineClient("http://engine", transport)
