"""Tests of the suspect list and its merging across gateways."""

import json
import types
import unittest

import msgspec

from bronzeslip.routing import suspect_list
from bronzeslip.routing import suspect_state
from bronzeslip.store import objects
from tests.support import nested_json

_CLEAR = suspect_state.SuspectState.CLEAR
_SUSPECT = suspect_state.SuspectState.SUSPECT
_QUARANTINED = suspect_state.SuspectState.QUARANTINED


class SuspectListTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now_unix_s = 1000.0
        self.first = self.create("g1")
        self.second = self.create("g2")

    def create(self, vm_id):
        settings = types.SimpleNamespace(vm_id=vm_id, suspect_ttl_s=100.0)
        return suspect_list.SuspectList(settings, lambda: self.now_unix_s)

    async def deliver_record(self, source, vm_id, *targets):
        key = suspect_list.record_key(vm_id)
        value = msgspec.Raw(msgspec.json.encode(source.own_record()))
        for target in targets:
            await target.on_event(
                objects.ObjectEvent(objects.EventKind.PUT, key, 1, value)
            )

    def test_one_crash_makes_a_suspect_and_two_quarantine_it(self):
        self.first.add_crash("f", "c1")
        self.first.add_crash("f", "c1")
        self.assertIs(self.first.state_of("f"), _SUSPECT)
        self.first.add_crash("f", "c2")
        self.assertIs(self.first.state_of("f"), _QUARANTINED)
        self.assertIs(self.first.state_of("other"), _CLEAR)

    async def test_crashes_seen_by_two_gateways_add_up(self):
        self.first.add_crash("f", "c1")
        self.second.add_crash("f", "c2")
        await self.deliver_record(self.first, "g1", self.second)
        await self.deliver_record(self.second, "g2", self.first)
        self.assertIs(self.first.state_of("f"), _QUARANTINED)
        self.assertIs(self.second.state_of("f"), _QUARANTINED)

    async def test_one_crash_seen_by_two_gateways_counts_once(self):
        self.first.add_crash("f", "c1")
        self.second.add_crash("f", "c1")
        await self.deliver_record(self.first, "g1", self.second)
        self.assertIs(self.second.state_of("f"), _SUSPECT)

    async def test_clearing_at_another_gateway_counts_in_any_order(self):
        self.first.add_crash("f", "c1")
        await self.deliver_record(self.first, "g1", self.second)
        self.second.clear("f")
        late = self.create("g3")
        await self.deliver_record(self.second, "g2", late, self.first)
        await self.deliver_record(self.first, "g1", late)
        self.assertIs(late.state_of("f"), _CLEAR)
        self.assertIs(self.first.state_of("f"), _CLEAR)
        self.first.add_crash("f", "c2")
        self.assertIs(self.first.state_of("f"), _SUSPECT)

    async def test_entries_expire(self):
        self.first.add_crash("f", "c1")
        await self.deliver_record(self.first, "g1", self.second)
        self.now_unix_s += 101
        self.assertIs(self.second.state_of("f"), _CLEAR)
        self.assertEqual(self.first.own_record().entries, {})
        self.assertEqual(
            self.second.abandoned_keys({"g2"}), (suspect_list.record_key("g1"),)
        )

    async def test_restarted_gateway_restores_its_record(self):
        self.first.add_crash("f", "c1")
        restarted = self.create("g1")
        await self.deliver_record(self.first, "g1", restarted)
        self.assertIn("f", restarted.own_record().entries)

    # One deeply nested record ended all gateways that read the list.
    async def test_record_that_cannot_be_decoded_does_not_hide_the_others(self):
        self.first.add_crash("f", "c1")
        sound = msgspec.Raw(msgspec.json.encode(self.first.own_record()))
        await self.second.on_list(
            objects.ObjectList(
                1,
                (
                    objects.PlatformObject("suspects/a", 1, nested_json.OBJECT),
                    objects.PlatformObject("suspects/g1", 1, sound),
                ),
            )
        )
        self.assertIs(self.second.state_of("f"), _SUSPECT)

    # Guards against times with which every look-up of a suspect fails.
    async def test_records_with_unusable_times_are_ignored(self):
        evidence = {"part_sets": [], "crashed_unix_s": 1, "noted_unix_s": 1}
        for record in (
            {"entries": {"f": {"crash_ids": ["c"], "noted_unix_s": 10**400}}},
            {
                "entries": {"f": {"crash_ids": ["c"], "noted_unix_s": 1000}},
                "parts": {"crashes": {"c": {**evidence, "noted_unix_s": -1}}},
            },
            {
                "entries": {"f": {"crash_ids": ["c"], "noted_unix_s": 1000}},
                "parts": {"safe_parts": {"p": 10**400}},
            },
        ):
            value = msgspec.Raw(json.dumps(record).encode())
            event = objects.ObjectEvent(
                objects.EventKind.PUT, "suspects/a", 1, value
            )
            with self.subTest(record=str(record)[:60]):
                await self.second.on_event(event)
                self.assertIs(self.second.state_of("f"), _CLEAR)

    # Guards against a time of 400 digits in the record of another writer, which
    # made every check of a prompt raise an exception.
    async def test_record_with_a_time_that_is_too_large_is_ignored(self):
        for fields in (
            b'"entries":{"f":{"crash_ids":["c"],"noted_unix_s":%s}}',
            b'"entries":{},"parts":{"crashes":{"c":{"part_sets":[["p"]],'
            b'"crashed_unix_s":%s,"noted_unix_s":1}}}',
            b'"entries":{},"parts":{"crashes":{"c":{"part_sets":[["p"]],'
            b'"crashed_unix_s":1,"noted_unix_s":%s}}}',
            b'"entries":{},"parts":{"safe_parts":{"p":%s}}',
        ):
            for vm_id in ("g1", "g2"):
                with self.subTest(fields=fields, vm_id=vm_id):
                    await self._check_ignored(vm_id, fields % (b"9" * 400))

    async def _check_ignored(self, vm_id, fields):
        suspects = self.create("g1")
        event = objects.ObjectEvent(
            objects.EventKind.PUT,
            suspect_list.record_key(vm_id),
            1,
            msgspec.Raw(b"{%s}" % fields),
        )
        await suspects.on_event(event)
        self.assertEqual(suspects.parts.find(["p"]), ())
        self.assertIs(suspects.state_of("f"), _CLEAR)
        self.assertEqual(suspects.abandoned_keys(set()), ())
        self.assertTrue(suspects.own_record().is_empty)


if __name__ == "__main__":
    unittest.main()
