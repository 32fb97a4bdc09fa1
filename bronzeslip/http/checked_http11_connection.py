"""HTTP/1.1 connection that checks the heads which the library skips."""

import h11
import httpcore

from bronzeslip.http import response_boundary


class CheckedHttp11Connection(httpcore.AsyncHTTP11Connection):
    """Connection on which no part of a response is lost in another one.

    The library drops interim responses and trailers. If one of them was cut
    off, the head of the next response is read as a part of it.
    """

    async def _receive_event(
        self, timeout: float | None = None
    ) -> h11.Event | type[h11.PAUSED]:
        event = await super()._receive_event(timeout)
        is_merged = False
        if isinstance(event, h11.InformationalResponse):
            is_merged = response_boundary.is_merged(event.reason, event.headers)
        elif isinstance(event, h11.EndOfMessage):
            is_merged = response_boundary.is_merged(b"", event.headers)
        if is_merged:
            raise httpcore.RemoteProtocolError(
                "an interim response or a trailer contains the status line of "
                "another response"
            )
        return event
