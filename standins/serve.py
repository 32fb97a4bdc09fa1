"""Serves a stand-in as a process of its own."""

import argparse
import asyncio
import signal
import sys
from typing import Any

from bronzeslip.http import server
from bronzeslip.settings import http as http_settings


def add_port_flag(parser: argparse.ArgumentParser) -> None:
    """Adds the --port flag to a parser; port 0 picks a free port."""
    parser.add_argument("--port", type=int, default=0)


async def serve(app: Any, port: int) -> None:
    """Prints the URL of an application and serves it until SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    settings = http_settings.HttpSettings(http_port=port)
    http_server = server.HttpServer(app, settings)
    http_server.start()
    print(f"listening http://127.0.0.1:{http_server.port}", flush=True)
    sys.stdout.flush()
    await stop.wait()
    await http_server.abort()
