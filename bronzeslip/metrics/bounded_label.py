"""Label with a bounded number of distinct values."""

from bronzeslip.metrics import labels

# Distinct values per label; keeps the metrics page below one megabyte.
_MAX_VALUES = 64
_OVERFLOW_LABEL = "(others)"


class BoundedLabel:
    """Limits the cardinality of a label.

    The first values get a series each; all further values share one.
    """

    def __init__(self, max_values: int = _MAX_VALUES) -> None:
        """Creates a label.

        Args:
            max_values: Number of values that get their own series.
        """
        self._max_values = max_values
        self._escaped_values: dict[str, str] = {}

    def value_of(self, value: str) -> str:
        """Returns the label value to record, escaped for the text format."""
        escaped_value = self._escaped_values.get(value)
        if escaped_value is not None:
            return escaped_value
        if len(self._escaped_values) >= self._max_values:
            return _OVERFLOW_LABEL
        return self._escaped_values.setdefault(value, labels.escape(value))
