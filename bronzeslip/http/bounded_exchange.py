"""HTTP exchanges whose responses are bounded in size and time."""

import asyncio
from typing import Any

import httpx

from bronzeslip.http import paced_chunks

# They describe how the body was sent, not the bytes that are returned.
_FRAMING_FIELDS = ("Content-Encoding", "Content-Length", "Transfer-Encoding")


async def request(
    http: httpx.AsyncClient,
    method: str,
    url: str,
    timeout_s: float,
    max_body_bytes: int,
    **options: Any,
) -> httpx.Response:
    """Sends a request and reads the whole response.

    The client's own timeouts restart with each byte received, and it reads
    bodies of any size.

    Args:
        http: Client to use.
        method: HTTP method.
        url: URL, which may be relative to the base URL of the client.
        timeout_s: Time for the exchange as a whole, in seconds.
        max_body_bytes: Maximum size of the body, in bytes.
        **options: Options of the request.

    Returns:
        The response, with its body as it was sent.

    Raises:
        httpx.HTTPError: If there is no complete response within these limits.
        httpx.InvalidURL: If the URL is invalid.
    """
    try:
        async with (
            asyncio.timeout(timeout_s),
            http.stream(method, url, **options) as response,
        ):
            body = await read_body(response, max_body_bytes)
    except TimeoutError as error:
        raise httpx.ReadTimeout("no complete response in time") from error
    fields = response.headers.copy()
    for name in _FRAMING_FIELDS:
        fields.pop(name, None)
    return httpx.Response(
        response.status_code,
        headers=fields,
        content=body,
        request=response.request,
    )


async def read_body(response: httpx.Response, max_bytes: int) -> bytes:
    """Reads a body as it is sent.

    Decompressing a chunk could take any amount of memory.

    Args:
        response: Response whose body has not been read.
        max_bytes: Maximum size of the body, in bytes.

    Raises:
        httpx.RemoteProtocolError: If the body is larger.
    """
    chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in paced_chunks.paced(response.stream):
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            raise httpx.RemoteProtocolError(
                f"response of more than {max_bytes} bytes"
            )
        chunks.append(chunk)
    return b"".join(chunks)
