"""Serves a stand-in whose responses end with their connection."""

import socket
from typing import Any

import uvicorn
from uvicorn.protocols.http import h11_impl

_OLD_HTTP_VERSION = b"1.0"


class _UnframedProtocol(h11_impl.H11Protocol):
    """Frames responses neither by a length nor by chunks."""

    def handle_events(self) -> None:
        super().handle_events()
        # Peers of this version can't read chunks, so the response that is
        # about to be sent has none.
        self.conn.their_http_version = _OLD_HTTP_VERSION


async def serve(app: Any, port: int) -> None:
    """Prints the URL of an application and serves it until SIGTERM.

    The responses of the application must not state a content length.
    """
    listening = socket.create_server(("127.0.0.1", port))
    config = uvicorn.Config(
        app,
        http=_UnframedProtocol,
        lifespan="off",
        log_config=None,
        access_log=False,
    )
    bound_port = listening.getsockname()[1]
    print(f"listening http://127.0.0.1:{bound_port}", flush=True)
    await uvicorn.Server(config).serve(sockets=[listening])
