"""Runs both example deployments and prints a streamed completion of each."""

import argparse
import pathlib
import signal

import openai

from tools import cli_runner
from tools import declarations
from tools import local_deployment
from tools import shapes

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_EXAMPLES = _ROOT / "examples"


def main() -> None:
    """Runs the demonstration."""
    parser = argparse.ArgumentParser(prog="run-demo")
    parser.add_argument(
        "--exit",
        action="store_true",
        help="exit after printing the completions",
    )
    flags = parser.parse_args()
    deployments = [
        local_deployment.LocalDeployment(shape)
        for shape in (shapes.MIDLANDS, shapes.MONGOLIA)
    ]
    try:
        for deployment in deployments:
            deployment.start()
            _print_completion(deployment)
            _print_commands(deployment)
        if not flags.exit:
            print("Running. Press Ctrl+C to stop.", flush=True)
            signal.sigwait({signal.SIGINT, signal.SIGTERM})
    finally:
        for deployment in deployments:
            deployment.stop()


def examples_folder(shape: shapes.DeploymentShape) -> pathlib.Path:
    """Returns the folder with a user's example declarations."""
    return _EXAMPLES / shape.name


def _print_completion(deployment: local_deployment.LocalDeployment) -> None:
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


def _print_commands(deployment: local_deployment.LocalDeployment) -> None:
    folder = str(examples_folder(deployment.shape).relative_to(_ROOT))
    for arguments in (("apply", "--wait", folder), ("status",)):
        print(f"$ bronzeslipctl {' '.join(arguments)}")
        completed = cli_runner.run(deployment, *arguments)
        print(completed.stdout + completed.stderr, end="", flush=True)
        completed.check_returncode()
    urls = ",".join(gateway.http_url() for gateway in deployment.gateways)
    print(f"export BRONZESLIP_GATEWAY_URLS={urls}")
    print(f"export BRONZESLIP_CREDENTIAL={declarations.OPERATOR_CREDENTIAL}")


if __name__ == "__main__":
    main()
