"""Values of a label whose number has a bound."""

from bronzeslip.metrics import labels

# Values told apart by one label; a page of metrics stays under a megabyte.
_MAX_VALUES = 64
_OTHERS = "(others)"


class BoundedLabel:
    """Gives the first values their own series and all later ones one."""

    def __init__(self, max_values: int = _MAX_VALUES) -> None:
        """Creates a label.

        Args:
            max_values: Number of values that are told apart.
        """
        self._max_values = max_values
        self._known: dict[str, str] = {}

    def value_of(self, value: str) -> str:
        """Returns the label's value, escaped for the text format."""
        known = self._known.get(value)
        if known is not None:
            return known
        if len(self._known) >= self._max_values:
            return _OTHERS
        return self._known.setdefault(value, labels.escaped(value))
