"""Values of a label whose number has a bound."""

from bronzeslip.metrics import labels

# Values told apart by one label; a page of metrics stays under a megabyte.
_MAX_VALUES = 64
_OVERFLOW_LABEL = "(others)"


class BoundedLabel:
    """Gives the first values their own series and all later ones one."""

    def __init__(self, max_values: int = _MAX_VALUES) -> None:
        """Creates a label.

        Args:
            max_values: Number of values that are told apart.
        """
        self._max_values = max_values
        self._escaped_values: dict[str, str] = {}

    def value_of(self, value: str) -> str:
        """Returns the label's value, escaped for the text format."""
        escaped_value = self._escaped_values.get(value)
        if escaped_value is not None:
            return escaped_value
        if len(self._escaped_values) >= self._max_values:
            return _OVERFLOW_LABEL
        return self._escaped_values.setdefault(value, labels.escape(value))
