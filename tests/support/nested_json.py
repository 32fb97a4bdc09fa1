"""JSON that is too deeply nested to be decoded."""

import msgspec

_DEPTH = 100_000

OBJECT = msgspec.Raw(b'{"x":' + b"[" * _DEPTH + b"]" * _DEPTH + b"}")
