"""Values of labels."""

_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})


def escaped(value: str) -> str:
    """Escapes a label's value for the text format."""
    return value.translate(_ESCAPES)
