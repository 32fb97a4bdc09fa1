"""Network addresses in text from outside the process."""

from bronzeslip.decoding import fields
from bronzeslip.decoding import numbers
from bronzeslip.decoding import untrusted


def parse(text: str) -> tuple[str, int]:
    """Returns the host and port of an address of the form HOST:PORT.

    Raises:
        errors.UndecodableError: If the text is not of that form, the host is
            not an IPv4 address or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    return (
        untrusted.from_builtins(host, fields.Ipv4Address),
        untrusted.from_builtins(numbers.parse_count(port), fields.Port),
    )
