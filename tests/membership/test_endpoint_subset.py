"""Tests of the subset of a pool's endpoints."""

import collections
import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.membership import directory
from bronzeslip.membership import endpoint_subset
from bronzeslip.membership import member
from bronzeslip.settings import gateway
from tests.membership import member_factory

LIMIT = 8


class EndpointSubsetTest(unittest.TestCase):
    def setUp(self):
        self.members = directory.MemberDirectory()

    def add(self, count, region="region-1"):
        for index in range(count):
            record = member_factory.create_sidecar(f"vm-{region}-{index}")
            self.members.put(msgspec.structs.replace(record, region=region))

    def subset(self, vm_id="entry-1"):
        settings = gateway.GatewaySettings(
            vm_id=ids.VmId(vm_id),
            region=ids.RegionName("region-1"),
            failure_domain=ids.FailureDomainName("domain-1"),
            peer_key="key",
            platform_url="http://platform",
            endpoints_per_pool=LIMIT,
        )
        return endpoint_subset.EndpointSubset(settings, self.members)

    def selected(self, vm_id="entry-1"):
        found = self.subset(vm_id).endpoints_of("pool")
        return {record.endpoint_id for record in found}

    def test_small_pool_is_selected_completely(self):
        self.add(LIMIT)
        self.assertEqual(len(self.selected()), LIMIT)

    def test_every_region_is_present_and_bounded(self):
        self.add(100)
        self.add(100, "region-2")
        found = self.subset().endpoints_of("pool")
        regions = collections.Counter(record.region for record in found)
        self.assertEqual(regions, {"region-1": LIMIT, "region-2": LIMIT // 4})

    def test_gateways_spread_over_endpoints(self):
        self.add(40)
        counts = collections.Counter()
        for index in range(200):
            counts.update(self.selected(f"entry-{index}"))
        self.assertEqual(len(counts), 40)
        self.assertLess(max(counts.values()), 2 * 200 * LIMIT / 40)

    def test_leaving_endpoint_changes_one_selection(self):
        self.add(40)
        before = self.selected()
        subset = self.subset()
        subset.endpoints_of("pool")
        leaving = next(
            record
            for record in self.members.members()
            if record.endpoint_id in before
        )
        self.members.put(
            msgspec.structs.replace(leaving, state=member.MemberState.DRAINING)
        )
        after = {record.endpoint_id for record in subset.endpoints_of("pool")}
        self.assertNotIn(leaving.endpoint_id, after)
        self.assertEqual(len(before & after), LIMIT - 1)
        self.assertEqual(len(after), LIMIT)


if __name__ == "__main__":
    unittest.main()
