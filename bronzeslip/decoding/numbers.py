"""Numbers in text from outside the process."""

import re

from bronzeslip.decoding import fields

_COUNT = re.compile(r"[0-9]{1,16}", re.ASCII)
_DECIMAL = re.compile(r"[0-9]{1,16}(\.[0-9]{1,32})?", re.ASCII)


def parse_count(text: str) -> int | None:
    """Returns a number without a sign, or None if the text is not one.

    Text with so many digits that the number is not usable is not one either.
    """
    if not _COUNT.fullmatch(text):
        return None
    count = int(text)
    return count if count <= fields.MAX_NUMBER else None


def parse_decimal(text: str) -> float | None:
    """Returns a decimal number without a sign, or None."""
    if not _DECIMAL.fullmatch(text):
        return None
    number = float(text)
    return number if number <= fields.MAX_NUMBER else None
