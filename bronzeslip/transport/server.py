"""Server side of peer connections."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import hmac

import grpc
import grpc.aio

from bronzeslip import logs
from bronzeslip import start_delays
from bronzeslip.transport import service
from bronzeslip.transport import stream

logger = logs.get_logger(__name__)

Handler = Callable[[stream.PeerStream], Awaitable[None]]


class PeerServer:
    """Accepts connections from other processes of the system.

    Attributes:
        port: Port that the server listens on, or will listen on.
    """

    def __init__(
        self,
        address: str,
        port: int,
        peer_key: str,
        handler: Handler,
        *,
        accepted_peer_keys: Sequence[str] = (),
        credentials: grpc.ServerCredentials | None = None,
    ) -> None:
        """Binds the port, unless it is taken for now.

        Args:
            address: IP address to listen on.
            port: Port to listen on; 0 selects a free port.
            peer_key: Key that peers must present.
            handler: Called with each accepted connection; the connection
                is closed when it returns.
            accepted_peer_keys: Additional keys that peers may present.
            credentials: TLS credentials, or None for plain TCP.
        """
        self._peer_keys = tuple(
            key.encode() for key in (peer_key, *accepted_peer_keys)
        )
        self._handler = handler
        self._server = grpc.aio.server(
            options=(
                ("grpc.max_receive_message_length", service.MAX_MESSAGE_BYTES),
                ("grpc.so_reuseport", 0),
            )
        )
        method = grpc.stream_stream_rpc_method_handler(self._exchange)
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    service.SERVICE_NAME, {service.METHOD_NAME: method}
                ),
            )
        )
        self._listen_address = f"{address}:{port}"
        self._credentials = credentials
        self.port = port
        self._is_bound = False
        self._has_failed = False
        self._start_task: asyncio.Task | None = None
        self._try_bind()

    async def start(self) -> None:
        """Starts accepting connections, later if the port is taken."""
        if self._is_bound:
            await self._server.start()
        else:
            self._start_task = asyncio.create_task(self._start_when_bound())

    async def stop(self) -> None:
        """Stops the server and closes every connection."""
        if self._start_task is not None:
            self._start_task.cancel()
            await asyncio.wait((self._start_task,))
        await self._server.stop(0)

    async def _start_when_bound(self) -> None:
        delays_s = start_delays.generate()
        while not self._is_bound:
            await asyncio.sleep(next(delays_s))
            self._try_bind()
        await self._server.start()

    def _try_bind(self) -> None:
        try:
            self.port = self._bind()
        # grpc raises no error of its own.
        except RuntimeError as error:
            if not self._has_failed:
                logger.warning(
                    "transport.port_taken", port=self.port, reason=str(error)
                )
            self._has_failed = True
        else:
            self._is_bound = True
            if self._has_failed:
                logger.info("transport.listening", port=self.port)

    def _bind(self) -> int:
        if self._credentials is None:
            return self._server.add_insecure_port(self._listen_address)
        return self._server.add_secure_port(
            self._listen_address, self._credentials
        )

    async def _exchange(
        self, _: AsyncIterator[bytes], context: grpc.aio.ServicerContext
    ) -> None:
        presented_key = dict(context.invocation_metadata()).get(
            service.KEY_METADATA, ""
        )
        matches = [
            hmac.compare_digest(str(presented_key).encode(), key)
            for key in self._peer_keys
        ]
        if not any(matches):
            logger.warning("transport.key_refused", peer=context.peer())
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "peer key")
        try:
            await self._handler(stream.PeerStream(context))
        except Exception as error:
            logger.error(
                "transport.session_failed",
                peer=context.peer(),
                reason=logs.describe(error),
            )
            await context.abort(grpc.StatusCode.INTERNAL, "session failed")
