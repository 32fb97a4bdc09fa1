"""Frames over one gRPC stream."""

from collections.abc import Sequence

import grpc
import grpc.aio

from bronzeslip.transport import codec
from bronzeslip.transport import errors

_StreamContext = grpc.aio.ServicerContext | grpc.aio.StreamStreamCall


class PeerStream:
    """Reads and writes batches of frames on either side of a connection."""

    def __init__(self, context: _StreamContext) -> None:
        self._context = context

    async def read(self) -> list[codec.Frame]:
        """Reads the next batch.

        Raises:
            errors.ConnectionLostError: If the connection ended.
        """
        try:
            data = await self._context.read()
        except grpc.RpcError as error:
            raise errors.ConnectionLostError(_describe(error)) from error
        if data is grpc.aio.EOF:
            raise errors.ConnectionLostError("connection closed by the peer")
        return codec.decode(data)

    async def write(self, batch: Sequence[codec.Frame]) -> None:
        """Writes a batch, waiting while flow control blocks the stream.

        Raises:
            errors.ConnectionLostError: If the connection ended.
        """
        try:
            await self._context.write(codec.encode(batch))
        except (grpc.RpcError, grpc.aio.UsageError) as error:
            raise errors.ConnectionLostError(_describe(error)) from error


def _describe(error: Exception) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        return f"{error.code().name}: {error.details()}"
    return type(error).__name__
