"""Client side of a peer connection."""

import asyncio
from collections.abc import Callable
import contextlib
import math
import time

import grpc
import grpc.aio

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.settings import common
from bronzeslip.transport import codec
from bronzeslip.transport import errors
from bronzeslip.transport import idle_timeout
from bronzeslip.transport import outbox
from bronzeslip.transport import service
from bronzeslip.transport import stream
from bronzeslip.transport import tls
from bronzeslip.transport import workers
from bronzeslip.transport.frames import link

logger = logs.get_logger(__name__)


class PeerConnection:
    """One TCP connection to a peer, shared by all work with that peer.

    Attributes:
        address: IP address and port of the peer.
        load: Latest load that the peer reported.
        load_received_at_s: Time on the monotonic clock at which the load was
            received, in seconds; -inf before the first report.
        incarnation_id: Incarnation of the peer; empty before its first
            heartbeat.
    """

    def __init__(
        self,
        address: str,
        settings: common.CommonSettings,
        on_frame: Callable[[codec.Frame], None],
        on_close: Callable[[], None],
    ) -> None:
        """Opens the connection.

        Args:
            address: IP address and port of the peer.
            settings: Peer key, heartbeat interval and silence timeout.
            on_frame: Called with each frame except heartbeats.
            on_close: Called once when the connection has ended.
        """
        self.address = address
        self.load = link.EndpointLoad()
        self.load_received_at_s = -math.inf
        self.incarnation_id = ids.IncarnationId("")
        self._settings = settings
        self._on_frame = on_frame
        self._on_close = on_close
        self._outbox = outbox.Outbox()
        self._aborted = False
        self._idle_timeout = idle_timeout.IdleTimeout(settings)
        self._task = asyncio.create_task(self._run())

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._aborted or self._task.done()

    def send(self, frame: codec.Frame) -> None:
        """Queues a frame, which is dropped if the connection fails."""
        self._outbox.put(frame)

    def abort(self) -> None:
        """Closes the connection without waiting; delivers no more frames."""
        self._aborted = True
        self._task.cancel()

    async def close(self) -> None:
        """Closes the connection and waits until it has ended."""
        self.abort()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        try:
            async with self._open_channel() as channel:
                await self._serve(channel)
        except errors.TransportError as error:
            logger.warning(
                "transport.connection_lost",
                address=self.address,
                code=error.code,
                reason=error.message,
            )
        except Exception as error:
            logger.error(
                "transport.connection_failed",
                address=self.address,
                reason=logs.describe(error),
            )
        finally:
            self._on_close()

    def _open_channel(self) -> grpc.aio.Channel:
        options = (
            ("grpc.use_local_subchannel_pool", 1),
            ("grpc.enable_retries", 0),
            ("grpc.max_receive_message_length", service.MAX_MESSAGE_BYTES),
            *tls.CHANNEL_OPTIONS,
        )
        credentials = tls.channel_credentials(self._settings)
        if credentials is None:
            return grpc.aio.insecure_channel(self.address, options=options)
        return grpc.aio.secure_channel(
            self.address, credentials, options=options
        )

    async def _serve(self, channel: grpc.aio.Channel) -> None:
        method = channel.stream_stream(service.METHOD_PATH)
        call = method(
            metadata=((service.KEY_METADATA, self._settings.peer_key),)
        )
        peer = stream.PeerStream(call)
        try:
            await workers.run_together(
                self._read(peer),
                self._write(peer),
                self._send_heartbeats(),
                self._idle_timeout.run(),
            )
        finally:
            call.cancel()

    async def _read(self, peer: stream.PeerStream) -> None:
        while True:
            batch = await peer.read()
            self._idle_timeout.reset()
            for frame in batch:
                if isinstance(frame, link.Heartbeat):
                    self._update_load(frame.load)
                    self.incarnation_id = frame.incarnation_id
                else:
                    self._on_frame(frame)

    def _update_load(self, load: link.EndpointLoad | None) -> None:
        if load is not None:
            self.load = load
            self.load_received_at_s = time.monotonic()

    async def _write(self, peer: stream.PeerStream) -> None:
        while True:
            await peer.write(await self._outbox.take())

    async def _send_heartbeats(self) -> None:
        while True:
            self.send(link.Heartbeat(ids.IncarnationId("")))
            await asyncio.sleep(self._settings.heartbeat_interval_s)
