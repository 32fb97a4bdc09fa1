"""Decodes an ASGI request into an IncomingRequest."""

from typing import Any

from bronzeslip import ids
from bronzeslip.decoding import numbers
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import incoming
from bronzeslip.forwarding import prompt
from bronzeslip.http import hop_by_hop
from bronzeslip.platform import headers

_MS_PER_S = 1000
# What follows a success is not HTTP.
_TUNNEL_METHOD = "CONNECT"
# Headers that are forwarded even if the Connection header names them.
_END_TO_END_HEADERS = frozenset(
    {headers.REQUEST_ID, headers.HOST, headers.CONTENT_LENGTH}
)

# Headers whose values decide which response belongs to the request, and whether
# it can be sent at all.
_SINGLE_HEADERS = (headers.REQUEST_ID, headers.HOST)


def decode(
    scope: dict[str, Any], body: bytes, arrived_s: float
) -> incoming.IncomingRequest:
    """Decodes a request.

    Args:
        scope: ASGI scope, with the unmodified request target in "target".
        body: Complete body.
        arrived_s: Time at which the headers were received, on the event
            loop's clock.

    Raises:
        errors.BadRequestError: If the request has no id, states its id or host
            more than once, asks for a tunnel, or its deadline is not a number.
    """
    if scope["method"] == _TUNNEL_METHOD:
        raise errors.BadRequestError("tunnels are not supported")
    _raise_if_repeated(scope["headers"])
    fields: dict[bytes, bytes] = dict(scope["headers"])
    request_id = fields.get(headers.REQUEST_ID, b"")
    if not request_id:
        raise errors.BadRequestError(
            f"header {headers.REQUEST_ID.decode()} is missing"
        )
    return incoming.IncomingRequest(
        request_id=ids.RequestId(_decode_text(request_id)),
        method=scope["method"],
        target=scope["target"],
        host=_host(fields),
        path=scope["raw_path"].decode("latin-1"),
        headers=_forwarded_headers(scope["headers"]),
        body=body,
        key=_get_text(fields, headers.API_KEY),
        arrived_s=arrived_s,
        caller_timeout_s=_caller_timeout_s(fields),
        shape=_prompt_shape(fields),
        last_event_id=_get_text(fields, headers.LAST_EVENT_ID),
    )


def _raise_if_repeated(received: list[tuple[bytes, bytes]]) -> None:
    names = [name for name, _ in received]
    for name in _SINGLE_HEADERS:
        if names.count(name) > 1:
            raise errors.BadRequestError(
                f"header {name.decode()} is present more than once"
            )


def _forwarded_headers(
    received: list[tuple[bytes, bytes]],
) -> tuple[incoming.HeaderField, ...]:
    dropped = headers.INTERNAL_ONLY | hop_by_hop.names_in(
        received, _END_TO_END_HEADERS
    )
    return tuple(
        incoming.HeaderField(name, value)
        for name, value in received
        if name not in dropped
    )


def _host(fields: dict[bytes, bytes]) -> str:
    host = _decode_text(fields.get(headers.HOST, b"")).lower()
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdecimal() else host


def _caller_timeout_s(fields: dict[bytes, bytes]) -> float | None:
    text = fields.get(headers.DEADLINE_MS)
    if text is None:
        return None
    try:
        timeout_s = float(text) / _MS_PER_S
    except ValueError as error:
        raise errors.BadRequestError(
            f"header {headers.DEADLINE_MS.decode()} is not a number"
        ) from error
    return timeout_s if timeout_s > 0 else None


def _prompt_shape(fields: dict[bytes, bytes]) -> prompt.PromptShape | None:
    text = fields.get(headers.TOKEN_USAGE)
    if text is None:
        return None
    counts = [_parse_count(part) for part in text.split(b",")]
    if len(counts) != 2 or None in counts:
        return None
    return prompt.PromptShape(
        model=_decode_text(fields.get(headers.MODEL, b"")),
        prompt_tokens=counts[0],
        max_output_tokens=counts[1],
        expected_output_tokens=_parse_count(
            fields.get(headers.LENGTH_HINT, b"")
        ),
        parts=_prompt_parts(fields.get(headers.PROMPT_PARTS, b"")),
    )


def _prompt_parts(listed: bytes) -> tuple[prompt.PromptPart, ...]:
    parts = []
    for entry in listed.split(b","):
        part_id, _, text = entry.strip().partition(b":")
        tokens = numbers.parse_count(_decode_text(text))
        if part_id and tokens is not None:
            parts.append(prompt.PromptPart(_decode_text(part_id), tokens))
    return tuple(parts)


def _parse_count(text: bytes) -> int | None:
    return numbers.parse_count(_decode_text(text.strip()))


def _get_text(fields: dict[bytes, bytes], name: bytes) -> str | None:
    value = fields.get(name)
    return None if value is None else _decode_text(value)


def _decode_text(value: bytes) -> str:
    return value.decode("latin-1")
