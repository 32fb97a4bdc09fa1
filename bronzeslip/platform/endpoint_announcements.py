"""Announcements of endpoints in the headers of their responses."""

import asyncio

import httpx

from bronzeslip import logs
from bronzeslip.decoding import numbers
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.platform import headers
from bronzeslip.platform import load_header

logger = logs.get_logger(__name__)

_LEAVING_VALUE = "1"
_MAX_PAUSE_S = 86_400.0
_MS_PER_S = 1000


def record(
    endpoints: directory.EndpointDirectory,
    sender: endpoint.Endpoint,
    response: httpx.Response,
) -> None:
    """Records what the headers of a response say about its sender.

    Args:
        endpoints: Directory that keeps the announcements.
        sender: Endpoint that the request was sent to.
        response: Its response.
    """
    stated_id = response.headers.get(headers.ENDPOINT_ID.decode())
    if stated_id not in (None, sender.endpoint_id):
        # Another endpoint has taken over the address.
        return
    leaving = response.headers.get(headers.SERVER_LEAVING.decode(), "")
    if leaving.strip() == _LEAVING_VALUE:
        endpoints.mark_leaving(sender)
    _record_cold(endpoints, sender, response)
    if response.status_code != httpx.codes.MISDIRECTED_REQUEST:
        _record_limit(endpoints, sender, response)
        _record_load(endpoints, sender, response)
    if response.status_code != httpx.codes.SERVICE_UNAVAILABLE:
        return
    text = response.headers.get(headers.RETRY_AFTER.decode())
    if text is None:
        return
    pause_s = _parse_seconds(text)
    if pause_s is None:
        logger.info(
            "endpoint.unreadable_retry_after", endpoint=sender.endpoint_id
        )
        return
    endpoints.pause(sender, pause_s)


def _record_cold(
    endpoints: directory.EndpointDirectory,
    sender: endpoint.Endpoint,
    response: httpx.Response,
) -> None:
    text = response.headers.get(headers.COLD_MS.decode())
    if text is None:
        return
    remaining_ms = numbers.parse_decimal(text.strip())
    if remaining_ms is None:
        logger.info("endpoint.unreadable_cold", endpoint=sender.endpoint_id)
        return
    endpoints.cold_endpoints.state(sender, remaining_ms / _MS_PER_S)


def _record_limit(
    endpoints: directory.EndpointDirectory,
    sender: endpoint.Endpoint,
    response: httpx.Response,
) -> None:
    text = response.headers.get(headers.SERVER_LIMIT.decode())
    if text is None:
        return
    rate_per_s = numbers.parse_decimal(text.strip())
    if rate_per_s is None:
        logger.info("endpoint.unreadable_limit", endpoint=sender.endpoint_id)
        return
    if not _is_known(endpoints, sender):
        return
    endpoints.request_limits.state(sender, rate_per_s)


def _record_load(
    endpoints: directory.EndpointDirectory,
    sender: endpoint.Endpoint,
    response: httpx.Response,
) -> None:
    text = response.headers.get(headers.SERVER_LOAD.decode())
    if text is None or not _is_known(endpoints, sender):
        return
    now_s = asyncio.get_running_loop().time()
    statement = load_header.parse(text, now_s)
    if statement is None:
        endpoints.load_statements.record_malformed(sender)
    else:
        endpoints.load_statements.state(sender, statement)


def _is_known(
    endpoints: directory.EndpointDirectory, sender: endpoint.Endpoint
) -> bool:
    """Returns whether a response is not of an incarnation that is gone."""
    known = endpoints.get(sender.endpoint_id)
    return known is not None and known.is_same_incarnation(sender)


def _parse_seconds(text: str) -> float | None:
    """Returns a delay in seconds, or None if the text is not a usable one."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0 <= seconds <= _MAX_PAUSE_S else None
