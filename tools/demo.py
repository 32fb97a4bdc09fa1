"""Runs both deployments in small and prints a streamed answer of each."""

import argparse
import signal

import openai

from tools import declarations
from tools import local_deployment
from tools import shapes


def main() -> None:
    """Runs the demonstration."""
    parser = argparse.ArgumentParser(prog="run-demo")
    parser.add_argument(
        "--exit", action="store_true", help="stop after the answers"
    )
    flags = parser.parse_args()
    deployments = [
        local_deployment.LocalDeployment(shape)
        for shape in (shapes.MIDLANDS, shapes.MONGOLIA)
    ]
    try:
        for deployment in deployments:
            deployment.start()
            _show(deployment)
        if not flags.exit:
            print("Running. Press Ctrl+C to stop.", flush=True)
            signal.sigwait({signal.SIGINT, signal.SIGTERM})
    finally:
        for deployment in deployments:
            deployment.stop()


def _show(deployment: local_deployment.LocalDeployment) -> None:
    workspace = deployment.shape.workspaces[0]
    credential = declarations.credential_of(workspace)
    base_url = f"{deployment.gateways[0].http_url()}/v1"
    print(f"{deployment.shape.name}: {base_url} credential {credential}")
    client = openai.OpenAI(base_url=base_url, api_key=credential)
    chunks = client.chat.completions.create(
        model=deployment.shape.model,
        messages=[{"role": "user", "content": "Draft it. #length=40"}],
        stream=True,
    )
    for chunk in chunks:
        print(chunk.choices[0].delta.content or "", end="", flush=True)
    print()


if __name__ == "__main__":
    main()
