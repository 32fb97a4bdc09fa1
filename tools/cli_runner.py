"""Runs bronzeslipctl against a deployment on this machine."""

import os
import pathlib
import subprocess
import sys

from tools import declarations
from tools import local_deployment

_ROOT = pathlib.Path(__file__).resolve().parent.parent


def run(
    deployment: local_deployment.LocalDeployment, *arguments: str
) -> subprocess.CompletedProcess[str]:
    """Runs bronzeslipctl with the given arguments and returns its output."""
    urls = ",".join(gateway.http_url() for gateway in deployment.gateways)
    return subprocess.run(
        [sys.executable, "-m", "bronzeslip.cli", *arguments],
        cwd=_ROOT,
        env={
            **os.environ,
            "BRONZESLIP_GATEWAY_URLS": urls,
            "BRONZESLIP_CREDENTIAL": declarations.OPERATOR_CREDENTIAL,
            "BRONZESLIP_OPERATOR": "trial",
        },
        capture_output=True,
        text=True,
        check=False,
    )
