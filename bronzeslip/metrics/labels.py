"""Escaping of label values."""

_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})


def escape(value: str) -> str:
    """Escapes a label value for the Prometheus text format."""
    return value.translate(_ESCAPES)
