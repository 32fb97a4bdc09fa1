"""Messages of the control calls of model engines."""

from typing import Any

import msgspec

from bronzeslip import ids
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import fields
from bronzeslip.decoding import untrusted
from bronzeslip.endpoints import report
from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import endpoint_errors

_MS_PER_S = 1000
_LEAVING_STATE = "draining"


class _Report(msgspec.Struct):
    waiting: fields.Count
    running: fields.Count
    # Tokens in memory that can't be evicted.
    kv_used: fields.Count
    kv_total: fields.Count
    # Tokens of memory reserved for copies and leases.
    held: fields.Count = 0
    # Negative once the engine stays longer than it had stated.
    leaves_ms: fields.Quantity | None = None
    state: str = "ready"
    # Each run is [id, tokens in memory, events generated, priority].
    runs: list[tuple[str, fields.Count, fields.Count, Any]] = []


class _MoveRequest(msgspec.Struct, omit_defaults=True):
    id: str
    to: str
    last: bool = False


class _MoveResponse(msgspec.Struct):
    handle: fields.VisibleText
    # Despite its name, the number of events that the run has generated.
    create_revision: fields.Count = 0


def decode_report(body: bytes) -> report.EngineReport:
    """Decodes a report.

    Raises:
        endpoint_errors.EndpointResponseLostError: If the report is invalid.
    """
    message = _decode(body, _Report)
    leaves_ms = message.leaves_ms
    return report.EngineReport(
        waiting=message.waiting,
        running=message.running,
        used_tokens=message.kv_used,
        memory_tokens=message.kv_total,
        held_tokens=message.held,
        leaves_in_s=None if leaves_ms is None else leaves_ms / _MS_PER_S,
        is_leaving=leaves_ms is not None or message.state == _LEAVING_STATE,
        runs=tuple(
            report.RunReport(ids.RequestId(run_id), tokens, events)
            for run_id, tokens, events, _ in message.runs
        ),
    )


def encode_move_request(
    request_id: ids.RequestId, target_address: str, is_last: bool
) -> bytes:
    """Encodes the request to copy the KV cache of a run."""
    return msgspec.json.encode(
        _MoveRequest(request_id, target_address, is_last)
    )


def decode_move_response(body: bytes) -> endpoint_client.CopyResult:
    """Decodes the response to a request to copy a run.

    Raises:
        endpoint_errors.EndpointResponseLostError: If the response is invalid.
    """
    message = _decode(body, _MoveResponse)
    return endpoint_client.CopyResult(
        ids.HandleId(message.handle), message.create_revision
    )


def _decode(body: bytes, message_type: type) -> object:
    try:
        return untrusted.from_json(body, message_type)
    except decoding_errors.UndecodableError as error:
        raise endpoint_errors.EndpointResponseLostError(
            f"invalid response from an engine: {error.message}"
        ) from error
