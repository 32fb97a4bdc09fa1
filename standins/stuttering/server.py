"""Server of the stuttering endpoint stand-in."""

import asyncio
import contextlib
import signal

import h11

from standins.stuttering import behavior
from standins.stuttering import connection
from standins.stuttering import response_log


class Server:
    """Accepts connections and writes the bytes of responses itself.

    It prints the id of each request when it arrives and when it runs. The path
    `connection.RESPONSES_PATH` returns the responses that were sent.
    """

    def __init__(
        self, endpoint_id: str, endpoint_behavior: behavior.Behavior
    ) -> None:
        """Creates a server.

        Args:
            endpoint_id: Id that requests have to name.
            endpoint_behavior: Decides how requests are answered.
        """
        self._behavior = endpoint_behavior
        self._log = response_log.ResponseLog(endpoint_id)

    async def serve(self, port: int) -> None:
        """Prints the URL and serves until SIGTERM."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        server = await asyncio.start_server(self._handle, "127.0.0.1", port)
        bound_port = server.sockets[0].getsockname()[1]
        print(f"listening http://127.0.0.1:{bound_port}", flush=True)
        await stop.wait()
        server.close()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        handled = connection.Connection(
            reader, writer, self._behavior, self._log
        )
        # The peer may leave at any time.
        with contextlib.suppress(OSError, h11.RemoteProtocolError):
            await handled.run()
        writer.close()
