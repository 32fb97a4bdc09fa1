"""Command that serves the platform stand-in."""

import argparse
import asyncio

from standins import serve
from standins.platform import app


def main() -> None:
    """Parses the command line and serves the platform stand-in."""
    parser = argparse.ArgumentParser(prog="standin-platform")
    serve.add_port_flag(parser)
    parser.add_argument("--vm-lag-s", type=float, default=5.0)
    parser.add_argument("--weight-rate-bytes-per-s", type=float, default=1e9)
    flags = parser.parse_args()
    asyncio.run(_run(flags))


async def _run(flags: argparse.Namespace) -> None:
    standin = app.PlatformStandin(flags.vm_lag_s, flags.weight_rate_bytes_per_s)
    await serve.serve(standin.app(), flags.port)


if __name__ == "__main__":
    main()
