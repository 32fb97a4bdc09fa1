"""Header in which endpoints state their load."""

from bronzeslip.decoding import numbers
from bronzeslip.load import load_statement

_COUNT_FIELDS = 3
# The header states paces in percent.
_NORMAL_PACE = 100
# Observed are 1.0 to 2.5. A false value beyond twice that must neither attract
# all requests nor make forecasts say that no endpoint can start one in time.
_MIN_PACE = 0.5
_MAX_PACE = 5.0


def parse(text: str, received_s: float) -> load_statement.LoadStatement | None:
    """Parses a header of the form RUNNING,WAITING,SLOTS[,PACE].

    Further values are ignored.

    Args:
        text: Value of the header.
        received_s: Time of receipt on the event loop's clock, in seconds.

    Returns:
        The statement, or None if the header is malformed.
    """
    values = [value.strip() for value in text.split(",")]
    counts = [numbers.parse_count(value) for value in values[:_COUNT_FIELDS]]
    if len(counts) < _COUNT_FIELDS or None in counts:
        return None
    pace = None
    if len(values) > _COUNT_FIELDS:
        percent = numbers.parse_decimal(values[_COUNT_FIELDS])
        if not percent:
            return None
        pace = min(max(percent / _NORMAL_PACE, _MIN_PACE), _MAX_PACE)
    return load_statement.LoadStatement(*counts, pace, received_s)
