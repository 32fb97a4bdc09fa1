"""Command that serves the stuttering endpoint stand-in."""

import argparse
import asyncio

from standins import serve
from standins.stuttering import behavior
from standins.stuttering import server


def main() -> None:
    """Parses the command line and serves the stuttering endpoint."""
    parser = argparse.ArgumentParser(prog="standin-stuttering")
    serve.add_port_flag(parser)
    parser.add_argument("--endpoint-id", required=True)
    parser.add_argument("--seed", default="")
    parser.add_argument("--repetition-share", type=float, default=0.5)
    parser.add_argument("--broken-off-share", type=float, default=0.5)
    flags = parser.parse_args()
    endpoint_behavior = behavior.Behavior(
        flags.seed, flags.repetition_share, flags.broken_off_share
    )
    endpoint_server = server.Server(flags.endpoint_id, endpoint_behavior)
    asyncio.run(endpoint_server.serve(flags.port))


if __name__ == "__main__":
    main()
