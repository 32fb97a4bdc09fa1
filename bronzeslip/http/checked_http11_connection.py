"""HTTP/1.1 connection whose response heads are those of one response each."""

import asyncio
import http

import h11
import httpcore

from bronzeslip.http import response_boundary

_HTTP_PREFIX = b"HTTP/"
# They take much longer to parse than to send.
_MAX_INTERIM_RESPONSES = 100
# Interim responses that are parsed before other tasks get a turn.
_INTERIM_RESPONSES_PER_TURN = 10


class CheckedHttp11Connection(httpcore.AsyncHTTP11Connection):
    """Connection that rejects heads made up of two responses.

    Interim responses are checked too. The library drops them, and with them
    the final head that one has taken in.
    """

    def unread_bytes(self) -> bytes:
        """Returns the bytes received that were not parsed yet."""
        unread, _ = self._h11_state.trailing_data
        return unread

    async def _receive_response_headers(
        self, request: httpcore.Request
    ) -> tuple[bytes, int, bytes, list[tuple[bytes, bytes]], bytes]:
        timeouts = request.extensions.get("timeout", {})
        is_final = False
        interim_count = 0
        while not is_final:
            head = await self._receive_event(timeouts.get("read"))
            if isinstance(head, h11.Response | h11.InformationalResponse):
                _check_boundary(head)
                is_final = _is_final(head)
                if not is_final:
                    interim_count += 1
                    await _pace(interim_count)
        return (
            _HTTP_PREFIX + head.http_version,
            head.status_code,
            head.reason,
            head.headers.raw_items(),
            self.unread_bytes(),
        )


def _is_final(head: h11.Response | h11.InformationalResponse) -> bool:
    return (
        isinstance(head, h11.Response)
        or head.status_code == http.HTTPStatus.SWITCHING_PROTOCOLS
    )


async def _pace(interim_count: int) -> None:
    """Bounds the interim responses that are parsed, and those at once."""
    if interim_count > _MAX_INTERIM_RESPONSES:
        raise httpcore.RemoteProtocolError(
            f"more than {_MAX_INTERIM_RESPONSES} interim responses"
        )
    if interim_count % _INTERIM_RESPONSES_PER_TURN == 0:
        await asyncio.sleep(0)


def _check_boundary(head: h11.Response | h11.InformationalResponse) -> None:
    if response_boundary.is_merged(head.reason, head.headers):
        raise httpcore.RemoteProtocolError(
            "the head contains the status line of another response"
        )
