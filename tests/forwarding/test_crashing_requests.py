"""Requests that crash endpoints, and those that run beside them."""

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

_BROKEN = endpoint_errors.EndpointBrokenError("reset")
_NAMES = ("one", "two", "three", "four")
_TTL_S = 100.0


def _new_list(vm_id):
    scope = suspect_list_settings.SuspectListSettings(ids.VmId(vm_id), _TTL_S)
    return suspect_list.SuspectList(scope)


def _answers(count):
    return [scripted_endpoints.ScriptedAnswer(200, [b"x"])] * count


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.suspects = _new_list("front-1")

    def _create_gateway(self, answers, suspects=None):
        """Creates a gateway before four endpoints of a plain service."""
        self.client = scripted_endpoints.ScriptedEndpoints(answers)
        self.parts = forwarding_parts.create_parts(
            self.client,
            [
                forwarding_parts.create_endpoint(name, service_name="desk")
                for name in answers
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
        forwarder = call_forwarder.CallForwarder(self.parts)
        try:
            await forwarder.forward(request, reply)
            self.parts.crashes.note_finished(request)
        finally:
            await self._let_checks_end()

    async def _let_checks_end(self):
        for _ in range(20):
            await asyncio.sleep(0)

    async def _call_and_break(self, body):
        with self.assertRaises(errors.OutcomeUnknownError):
            await self._call(body, max_attempts=1)

    async def test_request_is_refused_after_two_crashes(self):
        self._create_gateway({name: [_BROKEN] for name in _NAMES})
        self.client.absent.update(_NAMES)
        await self._call_and_break(b"poison")
        await self._call_and_break(b"poison")
        with self.assertRaises(errors.QuarantinedError) as caught:
            await self._call(b"poison")
        self.assertGreater(caught.exception.retry_after_s, 0)
        self.assertEqual(len(self.client.sent), 2)

    async def test_repeats_stop_at_the_second_crash(self):
        self._create_gateway({name: [_BROKEN] for name in _NAMES})
        self.client.absent.update(_NAMES)
        with self.assertRaises(errors.OutcomeUnknownError):
            await self._call(b"poison", max_attempts=2)
        with self.assertRaises(errors.QuarantinedError):
            await self._call(b"poison", max_attempts=2)
        self.assertEqual(len(self.client.sent), 2)

    async def test_suspect_is_not_repeated_before_its_crash_is_known(self):
        self._create_gateway({name: [_BROKEN] for name in _NAMES})
        self.client.absent.update(_NAMES)
        await self._call_and_break(b"poison")
        with self.assertRaises(errors.OutcomeUnknownError):
            await self._call(b"poison", max_attempts=3)
        self.assertEqual(len(self.client.sent), 2)

    async def test_other_requests_are_served_beside_it(self):
        self._create_gateway({name: [_BROKEN] for name in _NAMES})
        self.client.absent.update(_NAMES)
        await self._call_and_break(b"poison")
        await self._call_and_break(b"poison")
        self._create_gateway({"five": _answers(1)})
        await self._call(b"other")
        self.assertEqual(len(self.client.sent), 1)

    async def test_lost_answers_of_living_endpoints_are_no_crashes(self):
        self._create_gateway({"one": [_BROKEN, _BROKEN, *_answers(1)]})
        await self._call_and_break(b"popular")
        await self._call_and_break(b"popular")
        await self._call(b"popular")
        self.assertFalse(self.suspects.has_entries)

    async def test_loss_noticed_just_after_a_check_is_looked_into(self):
        self._create_gateway({"one": [_BROKEN]})
        self.client.absent.add("one")
        one = self.parts.known.get("one")
        late = forwarding_parts.admit(
            forwarding_parts.create_request(body=b"late"),
            kind.RequestKind.IDEMPOTENT,
        )
        publisher = suspect_publisher.SuspectPublisher
        with mock.patch.object(publisher, "publish") as publish:
            publish.side_effect = lambda: (
                publish.call_count == 1
                and self.parts.crashes.note_broken(late, one)
            )
            await self._call_and_break(b"early")
        self.assertEqual(len(self.suspects.own_record().entries), 2)

    async def test_end_of_an_endpoint_that_leaves_is_no_crash(self):
        self._create_gateway({"one": [_BROKEN]})
        self.client.absent.add("one")
        self.parts.known.note_leaving(self.parts.known.get("one"))
        await self._call_at("one", b"cut")
        self.assertFalse(self.suspects.has_entries)

    async def _call_at(self, name, body):
        request = forwarding_parts.admit(
            forwarding_parts.create_request(body=body),
            kind.RequestKind.IDEMPOTENT,
        )
        self.parts.crashes.note_broken(request, self.parts.known.get(name))
        await self._let_checks_end()

    async def test_silent_endpoint_has_crashed_once_its_entry_is_gone(self):
        self._create_gateway({"one": [_BROKEN], "two": []})
        self.client.silent.add("one")
        await self._call_and_break(b"poison")
        self.assertFalse(self.suspects.has_entries)
        self.parts.known.remove(ids.EndpointId("one"))
        await asyncio.sleep(2 * forwarding_parts.SETTINGS.lapse_grace_s)
        self.parts.known.remove(ids.EndpointId("one"))
        self.parts.known.remove(ids.EndpointId("two"))
        await self._let_checks_end()
        self.assertTrue(self.suspects.has_entries)

    async def test_neighbour_that_comes_to_an_end_is_cleared(self):
        for name in _NAMES[:2]:
            self._create_gateway({name: [_BROKEN]})
            self.client.absent.add(name)
            await self._call_and_break(b"neighbour")
            self._create_gateway({"well": _answers(1)})
            await self._call(b"neighbour")
        self._create_gateway({"well": _answers(1)})
        await self._call(b"neighbour")

    async def test_request_that_ends_before_the_crash_is_known_is_clear(self):
        self._create_gateway({"one": [_BROKEN], "two": [_BROKEN]})
        self.client.silent.update(("one", "two"))
        request = forwarding_parts.admit(
            forwarding_parts.create_request(body=b"neighbour"),
            kind.RequestKind.IDEMPOTENT,
        )
        self.parts.crashes.note_broken(request, self.parts.known.get("one"))
        self.parts.crashes.note_finished(request)
        await self._let_checks_end()
        self.parts.known.remove(ids.EndpointId("one"))
        await asyncio.sleep(2 * forwarding_parts.SETTINGS.lapse_grace_s)
        self.parts.known.remove(ids.EndpointId("two"))
        await self._let_checks_end()
        self.assertFalse(self.suspects.has_entries)

    async def test_suspects_run_apart_from_each_other(self):
        self._create_gateway({"one": _answers(4), "two": _answers(4)})
        suspect = forwarding_parts.admit(
            forwarding_parts.create_request(body=b"first"),
            kind.RequestKind.IDEMPOTENT,
        )
        one = self.parts.known.get("one")
        with self.parts.crashes.seated(suspect, one, has_broken=True):
            self.assertEqual(
                self.parts.crashes.places_to_avoid(suspect, has_broken=True),
                {"one"},
            )
            clear = self.parts.crashes.places_to_avoid(suspect, False)
            self.assertEqual(clear, frozenset())
        self.assertEqual(
            self.parts.crashes.places_to_avoid(suspect, True), frozenset()
        )

    async def test_suspect_is_sent_apart_as_long_as_there_is_room(self):
        self._create_gateway({name: _answers(6) for name in _NAMES[:2]})
        suspect = forwarding_parts.admit(
            forwarding_parts.create_request(body=b"first"),
            kind.RequestKind.IDEMPOTENT,
        )
        one = self.parts.known.get("one")
        self.parts.crashes.note_broken(suspect, one)
        self.client.absent.add("one")
        await self._let_checks_end()
        with self.parts.crashes.seated(suspect, one, has_broken=True):
            for number in range(6):
                await self._call(b"first")
                (noted,) = self.suspects.own_record().entries
                self.suspects.add_crash(noted, f"crash-{number}")
        sent_to = {sent.endpoint.endpoint_id for sent in self.client.sent}
        self.assertEqual(sent_to, {"two"})

    async def test_crashes_that_another_gateway_saw_count(self):
        other = _new_list("front-2")
        for name in _NAMES[:2]:
            self._create_gateway({name: [_BROKEN]}, other)
            self.client.absent.add(name)
            await self._call_and_break(b"poison")
        told = objects.ObjectEvent(
            objects.EventKind.PUT,
            suspect_list.own_key(ids.VmId("front-2")),
            ids.ObjectVersion(1),
            msgspec.Raw(msgspec.json.encode(other.own_record())),
        )
        await self.suspects.on_event(told)
        self._create_gateway({"three": _answers(1)})
        with self.assertRaises(errors.QuarantinedError):
            await self._call(b"poison")
        self.assertEqual(self.client.sent, [])


if __name__ == "__main__":
    unittest.main()
