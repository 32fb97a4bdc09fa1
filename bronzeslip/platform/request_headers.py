"""Headers of the requests that are sent to endpoints."""

from bronzeslip.forwarding import dispatch
from bronzeslip.platform import headers

_MS_PER_S = 1000


def build(outgoing: dispatch.Dispatch) -> list[tuple[bytes, bytes]]:
    """Returns the names and values of the headers of a request."""
    remaining_ms = max(round(outgoing.remaining_s * _MS_PER_S), 1)
    replaced = {headers.LAST_EVENT_ID} if outgoing.after_event_id else set()
    header_fields = [
        (field.name, field.value)
        for field in outgoing.request.headers
        if field.name not in replaced
    ]
    header_fields.append((headers.DEADLINE_MS, str(remaining_ms).encode()))
    header_fields.append(
        (headers.TARGET_ENDPOINT, outgoing.endpoint.endpoint_id.encode())
    )
    if outgoing.workspace_id is not None:
        header_fields.append(
            (headers.WORKSPACE, outgoing.workspace_id.encode())
        )
    if outgoing.priority is not None:
        header_fields.append(
            (headers.PRIORITY, str(outgoing.priority).encode())
        )
    if outgoing.source is not None:
        copy = f"{outgoing.source.address}/{outgoing.source.handle}"
        header_fields.append((headers.KV_SOURCE, copy.encode()))
    if outgoing.after_event_id is not None:
        header_fields.append(
            (headers.LAST_EVENT_ID, outgoing.after_event_id.encode("latin-1"))
        )
    return header_fields
