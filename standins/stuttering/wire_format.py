"""Bytes of responses."""

from collections.abc import Iterable
import http
import random

from standins.stuttering import response_kind
from standins.stuttering import sent_response

HEAD_END = b"\r\n\r\n"
_KEEP_ALIVE_S = 30


def encode(
    response: sent_response.SentResponse,
    kind: response_kind.ResponseKind,
    rng: random.Random,
) -> bytes:
    """Returns a whole response, whose fields are in random order."""
    fields = [
        ("Bronzeslip-Response-Stamp", response.stamp),
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Server", "stuttering stand-in"),
    ]
    if kind is not response_kind.ResponseKind.UNNAMED:
        fields.append(("Bronzeslip-Attempt-Id", response.request_id))
    if not response.has_run:
        fields.append(("Bronzeslip-Not-Executed", "1"))
    if kind is response_kind.ResponseKind.UNFRAMED:
        fields.append(("Connection", "close"))
    else:
        fields.append(("Content-Length", str(len(response.body))))
        # Gateways keep no connection without it.
        fields.append(("Keep-Alive", f"timeout={_KEEP_ALIVE_S}"))
    rng.shuffle(fields)
    return encode_fields(response.status, fields, response.body)


def encode_fields(
    status: int, fields: Iterable[tuple[str, str]], body: bytes
) -> bytes:
    """Returns a response with these fields."""
    lines = [f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join(lines).encode() + HEAD_END + body
