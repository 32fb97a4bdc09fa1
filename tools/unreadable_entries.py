"""Objects in an endpoint list that are no usable discovery entries."""

import msgspec

from tools import entry_configuration

_NESTING_DEPTH = 100_000


def _item(spec: bytes, name: bytes = b'"odd"') -> bytes:
    """Returns the bytes of a stored object."""
    return b'{"metadata":{"name":%s,"revision":1},"spec":%s}' % (name, spec)


def _entry(**fields: object) -> bytes:
    """Returns the bytes of a discovery entry with some fields replaced."""
    spec = entry_configuration.discovery_entry("desk", 9, "ready", 1)
    return msgspec.json.encode({**spec, **fields})


_DEEP = b"[" * _NESTING_DEPTH + b"]" * _NESTING_DEPTH
# Bytes of the objects by what is wrong with them.
ITEMS = {
    "deeply nested spec": _item(_DEEP),
    "deeply nested unknown field": _item(_entry()[:-1] + b',"x":%s}' % _DEEP),
    "port of thousands of digits": _item(
        _entry(address="127.0.0.1:" + "9" * 5000)
    ),
    "port out of range": _item(_entry(address="127.0.0.1:70000")),
    "host with a line break": _item(_entry(address="127.0.0.1\r\nx:80")),
    "number too large": _item(_entry()[:-1] + b',"born":%s}' % (b"9" * 5000)),
    "slots too large": _item(_entry(slots=0)[:-1] + b',"slots":1e999}'),
    "no name": b'{"metadata":{},"spec":%s}' % _entry(),
    "number as name": _item(_entry(), b"7"),
    "number as item": b"7",
    "bare NaN": _item(_entry()[:-1] + b',"cold_left_ms":NaN}'),
    "name that can't be sent": _item(_entry(), '"caf\u00e9 1"'.encode()),
    "revision out of range": b'{"metadata":{"name":"odd","revision":-1},'
    b'"spec":%s}' % _entry(),
    "entry of a megabyte": _item(_entry(comment="x" * 1_000_000)),
    "brackets that don't match": _item(b"[" * 1000),
    "string without an end": _item(b'"x'),
    "text that is no UTF-8": _item(_entry()[:-1] + b',"zone":"\xff\xfe"}'),
}
