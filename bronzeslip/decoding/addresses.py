"""Network addresses in text from outside the process."""

import ipaddress
import re

from bronzeslip.decoding import errors
from bronzeslip.decoding import numbers

_MAX_PORT = 65_535
_HOST_NAME = re.compile(r"[A-Za-z0-9.-]{1,253}", re.ASCII)


def check_host(text: str) -> str:
    """Returns a host if it is an IPv4 address.

    Raises:
        errors.UndecodableError: If it is not.
    """
    try:
        return str(ipaddress.IPv4Address(text))
    except ValueError as error:
        raise errors.UndecodableError("not an IPv4 address") from error


def check_host_name(text: str) -> str:
    """Returns a host if it is an IPv4 address or may be a host name.

    Raises:
        errors.UndecodableError: If it is not.
    """
    if not _HOST_NAME.fullmatch(text):
        raise errors.UndecodableError("not a host name")
    return text


def check_port(port: int | None) -> int:
    """Returns a port if it is in the range of TCP ports.

    Raises:
        errors.UndecodableError: If it is not.
    """
    if port is None or not 0 < port <= _MAX_PORT:
        raise errors.UndecodableError("not a TCP port")
    return port


def parse(text: str) -> tuple[str, int]:
    """Returns the host and port of an address of the form HOST:PORT.

    Raises:
        errors.UndecodableError: If the text is not of that form, the host is
            not an IPv4 address or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    return check_host(host), check_port(numbers.parse_count(port))
