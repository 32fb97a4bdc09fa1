"""Command that serves the plain service stand-in."""

import argparse
import asyncio

from standins import serve
from standins.plain import app


def main() -> None:
    """Parses the command line and serves the plain service stand-in."""
    parser = argparse.ArgumentParser(prog="standin-plain")
    serve.add_port_flag(parser)
    asyncio.run(_run(parser.parse_args().port))


async def _run(port: int) -> None:
    await serve.serve(app.PlainStandin().app(), port)


if __name__ == "__main__":
    main()
