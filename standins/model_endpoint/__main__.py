"""Command that serves the model endpoint stand-in."""

import argparse
import asyncio

from standins import serve
from standins import unframed
from standins.model_endpoint import app


def main() -> None:
    """Parses the command line and serves the model endpoint stand-in."""
    parser = argparse.ArgumentParser(prog="standin-model-endpoint")
    serve.add_port_flag(parser)
    parser.add_argument("--endpoint-id", required=True)
    parser.add_argument(
        "--unframed",
        action="store_true",
        help="send responses with neither a length nor chunks",
    )
    flags = parser.parse_args()
    asyncio.run(_run(flags))


async def _run(flags: argparse.Namespace) -> None:
    standin = app.EndpointStandin(flags.endpoint_id, flags.unframed)
    serve_app = unframed.serve if flags.unframed else serve.serve
    await serve_app(standin.app(), flags.port)


if __name__ == "__main__":
    main()
