"""Command that serves the object store stand-in."""

import argparse
import asyncio

from standins import serve
from standins.object_store import app


def main() -> None:
    """Parses the command line and serves the object store stand-in."""
    parser = argparse.ArgumentParser(prog="standin-object-store")
    serve.add_port_flag(parser)
    flags = parser.parse_args()
    asyncio.run(_run(flags.port))


async def _run(port: int) -> None:
    await serve.serve(app.StoreStandin().app(), port)


if __name__ == "__main__":
    main()
