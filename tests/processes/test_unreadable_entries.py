"""Tests of gateways that follow a list with entries of other writers."""

import time
import unittest

import httpx
import msgspec

from tools import entry_configuration
from tools import entry_deployment
from tools import wait

_NESTING_DEPTH = 100_000
# Longer than a watch call and the delay after it.
_OBSERVED_S = 3.0
_CALLS = 16


def _item(spec, name=b'"odd"'):
    """Returns the bytes of a stored object."""
    return b'{"metadata":{"name":%s,"revision":1},"spec":%s}' % (name, spec)


def _entry(**fields):
    """Returns the bytes of a discovery entry with some fields replaced."""
    spec = entry_configuration.discovery_entry("desk", 9, "ready", 1)
    return msgspec.json.encode({**spec, **fields})


_DEEP = b"[" * _NESTING_DEPTH + b"]" * _NESTING_DEPTH
_UNREADABLE_ITEMS = {
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
    "text that is no UTF-8": _item(_entry()[:-1] + b',"zone":"\xff\xfe"}'),
}


class UnreadableEntriesTest(unittest.TestCase):
    def setUp(self):
        self.deployment = entry_deployment.EntryDeployment()
        self.addCleanup(self.deployment.stop)
        (self.gateway,) = self.deployment.gateways
        (self.endpoint,) = self.deployment.call_endpoints

    def restore(self):
        """Restores the state before the unreadable entry was written."""
        self.deployment.remove_object("servers", "odd")
        self.restart_endpoint()
        if self.gateway.process.exit_status is not None:
            self.gateway.process.stop()
            self.gateway.start()
        self.gateway.wait_ready()

    def assert_serves(self):
        """Checks that the gateway runs, is ready and uses sound endpoints."""
        self.assertIsNone(self.gateway.process.exit_status)
        wait.until(lambda: self.gateway.readiness_status() == httpx.codes.OK)
        statuses = [
            self.gateway.call(f"call-{number}-{time.monotonic()}").status_code
            for number in range(_CALLS)
        ]
        self.assertEqual(statuses, [httpx.codes.OK] * _CALLS)

    # Guards against entries of another writer that end every gateway that
    # reads the list, or make it stop following the list.
    def test_entries_do_not_end_a_watching_gateway(self):
        for name, item in _UNREADABLE_ITEMS.items():
            with self.subTest(item=name):
                self.restore()
                self.deployment.put_raw_object("servers", "odd", item)
                time.sleep(_OBSERVED_S)
                self.assert_serves()
                self.assert_follows()

    # Guards against a gateway that can't start while such an entry exists.
    def test_entries_do_not_keep_a_gateway_from_starting(self):
        for name, item in _UNREADABLE_ITEMS.items():
            with self.subTest(item=name):
                self.restore()
                self.deployment.put_raw_object("servers", "odd", item)
                self.gateway.process.kill()
                self.gateway.process.stop()
                self.gateway.start()
                self.gateway.wait_ready()
                self.assert_serves()

    def assert_follows(self):
        """Checks that the gateway still notices changes of the list."""
        self.deployment.register(self.endpoint, "draining")
        wait.until(lambda: self.gateway.call("follow").status_code == 503)
        self.restart_endpoint()
        wait.until(lambda: self.gateway.call("follow").status_code == 200)

    def restart_endpoint(self):
        """Restarts the endpoint, which registers as ready again."""
        self.endpoint.restart()
        self.deployment.register(self.endpoint)


if __name__ == "__main__":
    unittest.main()
