"""Open connections of gateways to a sidecar."""

import asyncio

from bronzeslip.sidecar import peer_session


class PeerSessions:
    """Open sessions, which can be finished together."""

    def __init__(self) -> None:
        self._open: dict[peer_session.PeerSession, asyncio.Event] = {}

    async def run(self, session: peer_session.PeerSession) -> None:
        """Serves a session until its connection ends."""
        ended = asyncio.Event()
        self._open[session] = ended
        try:
            await session.run()
        finally:
            del self._open[session]
            ended.set()

    async def finish(self) -> None:
        """Waits until the currently open sessions have sent all queued frames.

        Sessions opened later only carry refusals and are not waited for.
        """
        finishing = tuple(self._open.items())
        for session, _ in finishing:
            session.finish()
        for _, ended in finishing:
            await ended.wait()
