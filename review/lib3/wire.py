"""HTTP/1.1 messages for the stand-ins and clients of the review's scripts."""

import asyncio
import dataclasses

_REASONS = {200: "OK", 404: "Not Found", 409: "Conflict"}


@dataclasses.dataclass
class Message:
    """A request or a response that was read completely."""

    first_line: str
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message; returns None at the end of the connection.

    Raises:
        asyncio.IncompleteReadError: If the message is cut off.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Message(first_line, fields, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


def write_answer(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes,
    **more_fields: str,
) -> None:
    """Writes a response with the length of its body."""
    lines = [
        f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
    ]
    for name, value in more_fields.items():
        lines.append(f"{name.replace('_', '-')}: {value}")
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
