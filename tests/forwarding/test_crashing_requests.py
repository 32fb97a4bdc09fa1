"""Tests of bronzeslip.forwarding.crash_watch.

A request that crashes endpoints must be quarantined after two crashes.
Requests that merely ran on the same endpoints must still be served.
"""

import asyncio
import unittest
from unittest import mock

import msgspec

from bronzeslip import ids
from bronzeslip.entry import suspect_list_settings
from bronzeslip.forwarding import call_forwarder
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import errors
from bronzeslip.routes import kind
from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_publisher
from bronzeslip.store import objects
from tests.support import forwarding_parts
from tests.support import scripted_endpoints

_RESPONSE_LOST = endpoint_errors.EndpointResponseLostError("reset")
_NAMES = ("one", "two", "three", "four")
_TTL_S = 100.0


def _create_suspect_list(vm_id):
    settings = suspect_list_settings.SuspectListSettings(
        ids.VmId(vm_id), _TTL_S
    )
    return suspect_list.SuspectList(settings)


def _successful_responses(count):
    return [scripted_endpoints.ScriptedResponse(200, [b"x"])] * count


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.suspects = _create_suspect_list("front-1")

    def _create_gateway(self, responses, suspects=None):
        """Creates a gateway with one plain endpoint per scripted name."""
        self.client = scripted_endpoints.ScriptedEndpointClient(responses)
        self.components = forwarding_parts.create_components(
            self.client,
            [
                forwarding_parts.create_endpoint(name, service_name="desk")
                for name in responses
            ],
            suspects=suspects or self.suspects,
        )

    async def _call(self, body, **route_changes):
        request = forwarding_parts.admit(
            forwarding_parts.create_request(body=body),
            kind.RequestKind.IDEMPOTENT,
            **route_changes,
        )
        reply = scripted_endpoints.RecordedReply()
        forwarder = call_forwarder.CallForwarder(self.components)
        try:
            await forwarder.forward(request, reply)
            self.components.crash_detector.record_completion(request)
        finally:
            await self._let_checks_finish()

    async def _let_checks_finish(self):
        for _ in range(20):
            await asyncio.sleep(0)

    async def _call_and_lose_response(self, body):
        with self.assertRaises(errors.OutcomeUnknownError):
            await self._call(body, max_attempts=1)

    async def test_request_is_refused_after_two_crashes(self):
        self._create_gateway({name: [_RESPONSE_LOST] for name in _NAMES})
        self.client.absent.update(_NAMES)
        await self._call_and_lose_response(b"poison")
        await self._call_and_lose_response(b"poison")
        with self.assertRaises(errors.QuarantinedError) as caught:
            await self._call(b"poison")
        self.assertGreater(caught.exception.retry_after_s, 0)
        self.assertEqual(len(self.client.sent), 2)

    async def test_retries_stop_after_the_second_crash(self):
        self._create_gateway({name: [_RESPONSE_LOST] for name in _NAMES})
        self.client.absent.update(_NAMES)
        with self.assertRaises(errors.OutcomeUnknownError):
            await self._call(b"poison", max_attempts=2)
        with self.assertRaises(errors.QuarantinedError):
            await self._call(b"poison", max_attempts=2)
        self.assertEqual(len(self.client.sent), 2)

    async def test_suspect_is_not_retried_before_its_crash_check_ends(self):
        self._create_gateway({name: [_RESPONSE_LOST] for name in _NAMES})
        self.client.absent.update(_NAMES)
        await self._call_and_lose_response(b"poison")
        with self.assertRaises(errors.OutcomeUnknownError):
            await self._call(b"poison", max_attempts=3)
        self.assertEqual(len(self.client.sent), 2)

    async def test_other_requests_are_served_during_a_quarantine(self):
        self._create_gateway({name: [_RESPONSE_LOST] for name in _NAMES})
        self.client.absent.update(_NAMES)
        await self._call_and_lose_response(b"poison")
        await self._call_and_lose_response(b"poison")
        self._create_gateway({"five": _successful_responses(1)})
        await self._call(b"other")
        self.assertEqual(len(self.client.sent), 1)

    async def test_lost_responses_of_running_endpoints_are_not_crashes(self):
        self._create_gateway(
            {"one": [_RESPONSE_LOST, _RESPONSE_LOST, *_successful_responses(1)]}
        )
        await self._call_and_lose_response(b"popular")
        await self._call_and_lose_response(b"popular")
        await self._call(b"popular")
        self.assertFalse(self.suspects.has_entries)

    async def test_lost_response_just_after_a_check_starts_another_check(self):
        self._create_gateway({"one": [_RESPONSE_LOST]})
        self.client.absent.add("one")
        one = self.components.endpoints.get("one")
        late = forwarding_parts.admit(
            forwarding_parts.create_request(body=b"late"),
            kind.RequestKind.IDEMPOTENT,
        )
        publisher = suspect_publisher.SuspectPublisher
        with mock.patch.object(publisher, "publish") as publish:
            publish.side_effect = lambda: (
                publish.call_count == 1
                and self.components.crash_detector.record_lost_response(
                    late, one
                )
            )
            await self._call_and_lose_response(b"early")
        self.assertEqual(len(self.suspects.own_record().entries), 2)

    async def test_exit_of_a_leaving_endpoint_is_not_a_crash(self):
        self._create_gateway({"one": [_RESPONSE_LOST]})
        self.client.absent.add("one")
        self.components.endpoints.mark_leaving(
            self.components.endpoints.get("one")
        )
        await self._lose_response_at("one", b"cut")
        self.assertFalse(self.suspects.has_entries)

    async def _lose_response_at(self, name, body):
        request = forwarding_parts.admit(
            forwarding_parts.create_request(body=body),
            kind.RequestKind.IDEMPOTENT,
        )
        self.components.crash_detector.record_lost_response(
            request, self.components.endpoints.get(name)
        )
        await self._let_checks_finish()

    async def test_unresponsive_endpoint_has_crashed_once_it_is_removed(self):
        self._create_gateway({"one": [_RESPONSE_LOST], "two": []})
        self.client.unresponsive.add("one")
        await self._call_and_lose_response(b"poison")
        self.assertFalse(self.suspects.has_entries)
        self.components.endpoints.remove(ids.EndpointId("one"))
        await asyncio.sleep(2 * forwarding_parts.SETTINGS.lapse_grace_s)
        self.components.endpoints.remove(ids.EndpointId("one"))
        self.components.endpoints.remove(ids.EndpointId("two"))
        await self._let_checks_finish()
        self.assertTrue(self.suspects.has_entries)

    async def test_endpoint_that_is_still_ending_is_probed_again(self):
        self._create_gateway({"one": [_RESPONSE_LOST]})
        self.client.unresponsive.add("one")
        await self._call_and_lose_response(b"poison")
        self.assertFalse(self.suspects.has_entries)
        self.client.absent.add("one")
        await asyncio.sleep(0.2)
        self.assertTrue(self.suspects.has_entries)

    async def test_concurrent_request_that_completes_is_cleared(self):
        for name in _NAMES[:2]:
            self._create_gateway({name: [_RESPONSE_LOST]})
            self.client.absent.add(name)
            await self._call_and_lose_response(b"neighbour")
            self._create_gateway({"well": _successful_responses(1)})
            await self._call(b"neighbour")
        self._create_gateway({"well": _successful_responses(1)})
        await self._call(b"neighbour")

    async def test_request_that_completes_before_detection_is_not_suspect(self):
        self._create_gateway({"one": [_RESPONSE_LOST], "two": [_RESPONSE_LOST]})
        self.client.unresponsive.update(("one", "two"))
        request = forwarding_parts.admit(
            forwarding_parts.create_request(body=b"neighbour"),
            kind.RequestKind.IDEMPOTENT,
        )
        self.components.crash_detector.record_lost_response(
            request, self.components.endpoints.get("one")
        )
        self.components.crash_detector.record_completion(request)
        await self._let_checks_finish()
        self.components.endpoints.remove(ids.EndpointId("one"))
        await asyncio.sleep(2 * forwarding_parts.SETTINGS.lapse_grace_s)
        self.components.endpoints.remove(ids.EndpointId("two"))
        await self._let_checks_finish()
        self.assertFalse(self.suspects.has_entries)

    async def test_suspects_run_on_different_endpoints(self):
        self._create_gateway(
            {"one": _successful_responses(4), "two": _successful_responses(4)}
        )
        suspect = forwarding_parts.admit(
            forwarding_parts.create_request(body=b"first"),
            kind.RequestKind.IDEMPOTENT,
        )
        one = self.components.endpoints.get("one")
        with self.components.crash_detector.track_suspect(
            suspect, one, has_lost_response=True
        ):
            self.assertEqual(
                self.components.crash_detector.endpoints_to_avoid(
                    suspect, has_lost_response=True
                ),
                {"one"},
            )
            avoided = self.components.crash_detector.endpoints_to_avoid(
                suspect, False
            )
            self.assertEqual(avoided, frozenset())
        self.assertEqual(
            self.components.crash_detector.endpoints_to_avoid(suspect, True),
            frozenset(),
        )

    async def test_suspect_avoids_endpoints_that_run_other_suspects(self):
        self._create_gateway(
            {name: _successful_responses(6) for name in _NAMES[:2]}
        )
        suspect = forwarding_parts.admit(
            forwarding_parts.create_request(body=b"first"),
            kind.RequestKind.IDEMPOTENT,
        )
        one = self.components.endpoints.get("one")
        self.components.crash_detector.record_lost_response(suspect, one)
        self.client.absent.add("one")
        await self._let_checks_finish()
        with self.components.crash_detector.track_suspect(
            suspect, one, has_lost_response=True
        ):
            for number in range(6):
                await self._call(b"first")
                (fingerprint,) = self.suspects.own_record().entries
                self.suspects.add_crash(fingerprint, f"crash-{number}")
        sent_to = {sent.endpoint.endpoint_id for sent in self.client.sent}
        self.assertEqual(sent_to, {"two"})

    async def test_crashes_seen_by_another_gateway_count(self):
        other = _create_suspect_list("front-2")
        for name in _NAMES[:2]:
            self._create_gateway({name: [_RESPONSE_LOST]}, other)
            self.client.absent.add(name)
            await self._call_and_lose_response(b"poison")
        event = objects.ObjectEvent(
            objects.EventKind.PUT,
            suspect_list.record_key(ids.VmId("front-2")),
            ids.ObjectVersion(1),
            msgspec.Raw(msgspec.json.encode(other.own_record())),
        )
        await self.suspects.on_event(event)
        self._create_gateway({"three": _successful_responses(1)})
        with self.assertRaises(errors.QuarantinedError):
            await self._call(b"poison")
        self.assertEqual(self.client.sent, [])


if __name__ == "__main__":
    unittest.main()
