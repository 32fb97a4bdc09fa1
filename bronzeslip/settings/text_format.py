"""Formats that the text of a setting can be required to match."""

from collections.abc import Callable
import dataclasses
import ipaddress
import re
import urllib.parse

from bronzeslip.decoding import addresses
from bronzeslip.decoding import errors


@dataclasses.dataclass(frozen=True)
class TextFormat:
    """A text format and its description.

    Attributes:
        description: Allowed text, for error messages and the settings
            reference.
        matches: Returns whether a text has the format.
    """

    description: str
    matches: Callable[[str], bool]


def _is_http_url(text: str) -> bool:
    parts = urllib.parse.urlsplit(text)
    return parts.scheme in ("http", "https") and bool(parts.hostname)


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_socket_address(text: str) -> bool:
    try:
        addresses.parse(text)
    except errors.UndecodableError:
        return False
    return True


_SHA256_DIGEST = re.compile(r"[0-9a-f]{64}")

HTTP_URL = TextFormat("an http or https URL", _is_http_url)
HTTP_URLS = TextFormat(
    "a comma-separated list of http or https URLs", _is_http_url
)
IP_ADDRESS = TextFormat("an IP address", _is_ip_address)
SOCKET_ADDRESS = TextFormat(
    "an IPv4 address and a port as HOST:PORT", _is_socket_address
)
SHA256_DIGESTS = TextFormat(
    "a comma-separated list of SHA-256 digests in hexadecimal",
    lambda text: bool(_SHA256_DIGEST.fullmatch(text)),
)
