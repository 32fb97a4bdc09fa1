"""The platform stand-in inside the test's own process."""

import httpx

from bronzeslip.platform import client
from standins.platform import app

BASE_URL = "http://platform"


def create_client(
    standin: app.PlatformStandin, timeout_s: float = 5.0
) -> client.PlatformClient:
    """Creates a client whose calls go straight to the stand-in."""
    transport = httpx.ASGITransport(standin.app())
    return client.PlatformClient(BASE_URL, timeout_s, transport)
