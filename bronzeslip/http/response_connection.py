"""HTTP/1.1 connection that reads interim responses as critically as others."""

import h11
import httpcore

from bronzeslip.http import response_boundary


class ResponseConnection(httpcore.AsyncHTTP11Connection):
    """Established connection, of which the library skips interim responses.

    An interim head that is made up of two responses contains the final one,
    which would be skipped with it. What follows is another response.
    """

    async def _receive_event(
        self, timeout: float | None = None
    ) -> h11.Event | type[h11.PAUSED]:
        event = await super()._receive_event(timeout)
        if isinstance(event, h11.InformationalResponse) and (
            response_boundary.is_merged(event.reason, event.headers)
        ):
            raise httpcore.RemoteProtocolError(
                "an interim head contains the status line of another response"
            )
        return event
