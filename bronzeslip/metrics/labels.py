"""Values of labels."""

_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})


def escape(value: str) -> str:
    """Escapes a label's value for the text format."""
    return value.translate(_ESCAPES)
