"""Fake sidecar whose frames are written by the test."""

import asyncio

from bronzeslip import ids
from bronzeslip.membership import member
from bronzeslip.settings import gateway
from bronzeslip.transport import codec
from bronzeslip.transport import errors
from bronzeslip.transport import server
from bronzeslip.transport import stream
from bronzeslip.transport.frames import generation as frames
from bronzeslip.transport.frames import link

_KEY = "key"


class FakeConnection:
    """Sidecar side of one accepted connection."""

    def __init__(self, peer: stream.PeerStream) -> None:
        self._peer = peer
        self._received: asyncio.Queue[codec.Frame] = asyncio.Queue()
        self._closed = asyncio.Event()

    async def serve(self) -> None:
        """Collects frames until the connection is closed by either side."""
        reading = asyncio.create_task(self._read())
        await self._closed.wait()
        reading.cancel()

    async def get(self, frame_type: type) -> codec.Frame:
        """Waits for the next frame and checks its type."""
        frame = await self._received.get()
        if not isinstance(frame, frame_type):
            raise AssertionError(f"{frame} is not a {frame_type.__name__}")
        return frame

    async def get_start_unless_closed(self) -> frames.StartGeneration | None:
        """Waits for a start frame; returns None if the connection closes."""
        start = asyncio.create_task(self.get(frames.StartGeneration))
        end = asyncio.create_task(self._closed.wait())
        try:
            await asyncio.wait((start, end), return_when="FIRST_COMPLETED")
            return start.result() if start.done() else None
        finally:
            start.cancel()
            end.cancel()

    async def send(self, *batch: codec.Frame) -> None:
        """Sends frames to the gateway."""
        await self._peer.write(batch)

    def close(self) -> None:
        """Closes the connection."""
        self._closed.set()

    async def _read(self) -> None:
        try:
            while True:
                for frame in await self._peer.read():
                    is_background = isinstance(
                        frame, link.Heartbeat | frames.AcknowledgeTokens
                    )
                    if not is_background:
                        self._received.put_nowait(frame)
        except errors.TransportError:
            self._closed.set()


class FakeSidecar:
    """Accepts connections and passes them to the test."""

    def __init__(self, name: str = "e") -> None:
        self._accepted: asyncio.Queue[FakeConnection] = asyncio.Queue()
        self._pending: FakeConnection | None = None
        self._server = server.PeerServer("127.0.0.1", 0, _KEY, self._serve)
        self.member = member.Member(
            vm_id=ids.VmId("vm"),
            incarnation_id=ids.IncarnationId("first"),
            role=member.MemberRole.SIDECAR,
            region=ids.RegionName("r"),
            failure_domain=ids.FailureDomainName("d"),
            address=f"127.0.0.1:{self._server.port}",
            endpoint_id=ids.EndpointId(name),
            pool=ids.PoolName("pool"),
        )

    async def start(self) -> None:
        """Starts to accept connections."""
        await self._server.start()

    async def stop(self) -> None:
        """Closes all connections and refuses new ones."""
        await self._server.stop()

    async def accept(self) -> FakeConnection:
        """Waits for the next connection."""
        return await self._accepted.get()

    async def accept_start(
        self,
    ) -> tuple[FakeConnection, frames.StartGeneration]:
        """Waits for a connection on which a generation is started."""
        while True:
            if self._pending is None:
                self._pending = await self.accept()
            start = await self._pending.get_start_unless_closed()
            connection, self._pending = self._pending, None
            if start is not None:
                return connection, start

    async def _serve(self, peer: stream.PeerStream) -> None:
        accepted = FakeConnection(peer)
        await self._accepted.put(accepted)
        await accepted.serve()


def settings(**changes: object) -> gateway.GatewaySettings:
    """Returns settings of a gateway that connects to fake sidecars."""
    values = {
        "vm_id": "entry",
        "region": "r",
        "failure_domain": "d",
        "peer_key": _KEY,
        "platform_url": "http://127.0.0.1:1",
        "peer_silence_timeout_s": 60.0,
        **changes,
    }
    return gateway.GatewaySettings(**values)
