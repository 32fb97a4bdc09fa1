"""Sound server of a plain service, by PROTOCOL.md.

It answers calls after a short time and notes each request that it runs.
"""

import asyncio

from review.lib3 import wire

_STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"


class Desk:
    """One server with an id, which answers one request at a time each."""

    def __init__(self, instance_id: str, service: str, work_s: float) -> None:
        self.instance_id = instance_id
        self.service = service
        self.address = ""
        self.runs: list[str] = []
        self._work_s = work_s
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def entry(self, zone: str, born_ms: int) -> dict:
        """Returns the entry of this server in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 24,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": born_ms,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await wire.read_message(reader)) is not None:
                await self._answer(message, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer has closed the connection, or the script ends.
            pass
        finally:
            writer.close()

    async def _answer(
        self, message: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = message.fields.get("bronzeslip-attempt-id")
        if attempt_id is None:
            wire.write_answer(
                writer,
                200,
                b"{}",
                Bronzeslip_Instance_Id=self.instance_id,
                Keep_Alive="timeout=10",
            )
            return
        target = message.fields.get("bronzeslip-target-instance")
        if target not in (None, self.instance_id):
            wire.write_answer(
                writer,
                421,
                b"",
                Bronzeslip_Attempt_Id=attempt_id,
                Bronzeslip_Instance_Id=self.instance_id,
            )
            return
        self.runs.append(attempt_id)
        await asyncio.sleep(self._work_s)
        self._respond(attempt_id, writer)

    def _respond(self, attempt_id: str, writer: asyncio.StreamWriter) -> None:
        """Sends the response to a request that has run."""
        wire.write_answer(
            writer,
            200,
            b'{"ran":"%s"}' % attempt_id.encode(),
            Bronzeslip_Attempt_Id=attempt_id,
            Bronzeslip_Response_Stamp=_STAMP,
            Keep_Alive="timeout=10",
        )
