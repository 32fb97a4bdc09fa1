"""Tests of the decoders with arbitrary data of other writers."""

import asyncio
import contextlib
import unittest

import httpx
import hypothesis
from hypothesis import strategies
import msgspec

from bronzeslip import errors as base_errors
from bronzeslip import ids
from bronzeslip.entry import gateway_record
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.platform import configuration
from bronzeslip.platform import discovery
from bronzeslip.platform import engine_messages
from bronzeslip.platform import errors
from bronzeslip.platform import request_decoder
from bronzeslip.platform import store_client
from bronzeslip.store import errors as store_errors
from tests.support import forwarding_parts
from tests.support import nested_json

_NESTED = bytes(nested_json.OBJECT)
_DIGITS = b"9" * 5000
_SAMPLES = strategies.sampled_from(
    (
        b"null",
        b"7",
        b"-1",
        b"1e999",
        b"NaN",
        b'"\xff"',
        b'"\\ud800"',
        _DIGITS,
        _NESTED,
        b"[]",
        b"{}",
        b'"127.0.0.1:99999"',
        b'"a\\r\\nb"',
        b"{,}",
    )
)
_NAMES = strategies.sampled_from(
    (
        "metadata",
        "name",
        "revision",
        "spec",
        "object",
        "removed",
        "service",
        "address",
        "slots",
        "state",
        "born",
        "zone",
        "cold_left_ms",
        "version",
        "routes",
        "services",
        "limits",
        "tenants",
        "waiting",
        "running",
        "runs",
        "kv_used",
        "kv_total",
        "leaves_ms",
        "handle",
        "vm_id",
        "peer_address",
        "host",
        "port",
        "items",
        "as_of",
        "truncated",
        "events",
    )
)


def _array(elements):
    return b"[%s]" % b",".join(elements)


def _object(members):
    pairs = (
        b"%s:%s" % (msgspec.json.encode(name), value)
        for name, value in members.items()
    )
    return b"{%s}" % b",".join(pairs)


# Valid nesting of values that may not be decodable.
_ODD_JSON = strategies.recursive(
    _SAMPLES,
    lambda children: (
        strategies.lists(children, max_size=3).map(_array)
        | strategies.dictionaries(_NAMES, children, max_size=5).map(_object)
    ),
    max_leaves=8,
)
_SETTINGS = hypothesis.settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
_SOUND_ITEMS = [
    b'{"metadata":{"name":"%s","revision":3},"spec":%s}' % (name, b'{"a":[1]}')
    for name in (b"before", b"after")
]


def _call_store(body, call):
    """Makes a call to a store that responds with a body."""

    async def run():
        client = store_client.StoreClient(
            vm_config.SocketAddress("store", 1),
            forwarding_parts.SETTINGS,
            lambda method, result: None,
            httpx.MockTransport(lambda _: httpx.Response(200, content=body)),
        )
        try:
            return await call(client)
        finally:
            await client.close()

    return asyncio.run(run())


def _keys(changed):
    return {value.key for value in changed}


class ArbitraryBytesTest(unittest.TestCase):
    # Guards against an exception that no caller of a decoder expects.
    @_SETTINGS
    @hypothesis.given(strategies.binary() | _ODD_JSON)
    def test_decoders_only_raise_their_errors(self, data):
        value = msgspec.Raw(data)
        for decode, error_type in (
            (configuration.decode, errors.ConfigurationError),
            (gateway_record.decode, ()),
            (
                lambda raw: discovery.decode(ids.ObjectKey("servers/a"), raw),
                errors.EntryError,
            ),
            (
                engine_messages.decode_report,
                endpoint_errors.EndpointResponseLostError,
            ),
            (
                engine_messages.decode_move_response,
                endpoint_errors.EndpointResponseLostError,
            ),
        ):
            with contextlib.suppress(error_type):
                decode(value)

    @_SETTINGS
    @hypothesis.given(strategies.binary() | _ODD_JSON)
    def test_store_responses_only_raise_platform_errors(self, body):
        for call in (
            lambda client: client.list_objects("servers/"),
            lambda client: client.watch("servers/", 0, 0.0),
            lambda client: client.get("servers/a"),
        ):
            with contextlib.suppress(store_errors.PlatformError):
                _call_store(body, call)

    # Guards against sound entries that an odd one between them hides.
    @_SETTINGS
    @hypothesis.given(_ODD_JSON)
    def test_neighbours_of_odd_objects_are_read(self, odd):
        expected = {"servers/before", "servers/after"}
        before, after = _SOUND_ITEMS
        page = b'{"items":%s,"as_of":9}' % _array([before, odd, after])
        listing = _call_store(
            page, lambda store: store.list_objects("servers/")
        )
        self.assertLessEqual(expected, _keys(listing.objects))
        changes = [
            b'{"object":%s}' % before,
            odd,
            b'{"object":%s,"removed":true}' % odd,
            b'{"object":%s}' % after,
        ]
        batch = _call_store(
            b'{"events":%s,"as_of":9}' % _array(changes),
            lambda store: store.watch("servers/", 0, 0.0),
        )
        self.assertLessEqual(expected, _keys(batch.events))

    # Guards against a status 500 for the headers of a request.
    @_SETTINGS
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(
                (
                    b"bronzeslip-deadline-ms",
                    b"bronzeslip-token-usage",
                    b"bronzeslip-length-hint",
                    b"bronzeslip-prompt-prefix",
                    b"bronzeslip-key",
                    b"host",
                    b"connection",
                )
            ),
            strategies.sampled_from(
                (
                    b"1," + _DIGITS,
                    b"nan",
                    b"inf",
                    b"1e999",
                    b"-1",
                    b"1,2",
                    _DIGITS,
                    b"a:" + _DIGITS,
                    b"a:1,b:",
                    b"\xb2",
                    b":80",
                    b"x:1",
                )
            )
            | strategies.binary(max_size=20),
        )
    )
    def test_request_headers_only_raise_errors_of_callers(self, fields):
        scope = {
            "method": "GET",
            "target": b"/",
            "raw_path": b"/",
            "headers": [(b"bronzeslip-attempt-id", b"1"), *fields.items()],
        }
        with contextlib.suppress(base_errors.BronzeslipError):
            request_decoder.decode(scope, b"", 0.0)


if __name__ == "__main__":
    unittest.main()
