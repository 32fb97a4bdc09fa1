"""Reads requests from a connection."""

import asyncio

import h11

from standins.stuttering import request

_READ_BYTES = 65_536


async def read(reader: asyncio.StreamReader) -> request.Request | None:
    """Reads a request, None if the connection ends before its end.

    Raises:
        h11.RemoteProtocolError: If the bytes are not a request, or another one
            follows before the response.
    """
    connection = h11.Connection(h11.SERVER)
    head = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(_READ_BYTES)
            if not data:
                return None
            connection.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            break
    unread, _ = connection.trailing_data
    if unread:
        raise h11.RemoteProtocolError("a request precedes a response")
    return request.Request(
        head.method.decode(),
        head.target.decode(),
        {name.decode(): value.decode() for name, value in head.headers},
        body,
    )
