"""Choice of the relays that a process follows."""

import collections
import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.settings import common
from bronzeslip.spread import upstream_order
from tests.membership import member_case

SEED = "10.0.0.9:7000"
COUNT = 12


class UpstreamOrderTest(unittest.TestCase):
    def setUp(self):
        self.members = directory.MemberDirectory()
        for domain in ("domain-1", "domain-2"):
            for index in range(COUNT):
                name = f"{domain}-entry-{index}"
                known = member_case.gateway(name, domain)
                self.members.put(msgspec.structs.replace(known, address=name))

    def order(self, vm_id, domain, role=member.MemberRole.GATEWAY):
        settings = common.CommonSettings(
            vm_id=ids.VmId(vm_id),
            region=ids.RegionName("region-1"),
            failure_domain=ids.FailureDomainName(domain),
            peer_key="key",
            platform_url="http://platform",
            seed_peers=(SEED,),
        )
        return upstream_order.UpstreamOrder(settings, role, self.members)

    def orders(self, domain="domain-1"):
        return {
            f"{domain}-entry-{index}": self.order(
                f"{domain}-entry-{index}", domain
            )
            for index in range(COUNT)
        }

    def test_two_gateways_of_a_domain_watch(self):
        watching = [found.watches() for found in self.orders().values()]
        self.assertEqual(sum(watching), 2)

    def test_gateways_never_follow_each_other_in_a_circle(self):
        above = {
            name: {
                address
                for address in found.candidates()
                if address.startswith("domain-1")
            }
            for name, found in self.orders().items()
        }
        ranks = sorted(above, key=lambda name: len(above[name]))
        for rank, name in enumerate(ranks):
            self.assertEqual(above[name], set(ranks[:rank]))

    def test_first_choices_are_spread(self):
        first = collections.Counter(
            found.candidates()[0]
            for found in self.orders().values()
            if not found.watches()
        )
        self.assertEqual(max(first.values()), upstream_order.GATEWAYS_PER_RELAY)

    def test_sidecar_prefers_its_domain_and_ends_with_seeds(self):
        found = self.order("vm-1", "domain-1", member.MemberRole.SIDECAR)
        addresses = found.candidates()
        self.assertTrue(
            all(name.startswith("domain-1") for name in addresses[:COUNT])
        )
        self.assertEqual(addresses[-1], SEED)

    def test_draining_gateway_is_not_chosen(self):
        found = self.order("vm-1", "domain-1", member.MemberRole.SIDECAR)
        first = found.candidates()[0]
        known = next(
            known for known in self.members.gateways() if known.address == first
        )
        self.members.put(
            msgspec.structs.replace(known, state=member.MemberState.DRAINING)
        )
        self.assertNotIn(first, found.candidates())


if __name__ == "__main__":
    unittest.main()
