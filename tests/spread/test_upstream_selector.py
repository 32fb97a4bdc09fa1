"""Tests of the selection of relays to follow."""

import collections
import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.membership import directory
from bronzeslip.membership import member
from bronzeslip.settings import common
from bronzeslip.spread import upstream_selector
from tests.membership import member_factory

SEED = "10.0.0.9:7000"
COUNT = 12


class UpstreamSelectorTest(unittest.TestCase):
    def setUp(self):
        self.members = directory.MemberDirectory()
        for domain in ("domain-1", "domain-2"):
            for index in range(COUNT):
                name = f"{domain}-entry-{index}"
                gateway = member_factory.create_gateway(name, domain)
                self.members.put(msgspec.structs.replace(gateway, address=name))

    def create_selector(self, vm_id, domain, role=member.MemberRole.GATEWAY):
        settings = common.CommonSettings(
            vm_id=ids.VmId(vm_id),
            region=ids.RegionName("region-1"),
            failure_domain=ids.FailureDomainName(domain),
            peer_key="key",
            platform_url="http://platform",
            seed_peers=(SEED,),
        )
        return upstream_selector.UpstreamSelector(settings, role, self.members)

    def create_selectors(self, domain="domain-1"):
        return {
            f"{domain}-entry-{index}": self.create_selector(
                f"{domain}-entry-{index}", domain
            )
            for index in range(COUNT)
        }

    def test_two_gateways_of_a_domain_watch(self):
        watchers = [
            selector.is_watcher()
            for selector in self.create_selectors().values()
        ]
        self.assertEqual(sum(watchers), 2)

    def test_gateways_never_form_a_cycle(self):
        followed = {
            name: {
                address
                for address in selector.candidates()
                if address.startswith("domain-1")
            }
            for name, selector in self.create_selectors().items()
        }
        ranks = sorted(followed, key=lambda name: len(followed[name]))
        for rank, name in enumerate(ranks):
            self.assertEqual(followed[name], set(ranks[:rank]))

    def test_first_choices_are_balanced(self):
        first_choices = collections.Counter(
            selector.candidates()[0]
            for selector in self.create_selectors().values()
            if not selector.is_watcher()
        )
        self.assertEqual(
            max(first_choices.values()), upstream_selector.GATEWAYS_PER_RELAY
        )

    def test_sidecar_prefers_its_domain_and_ends_with_seeds(self):
        selector = self.create_selector(
            "vm-1", "domain-1", member.MemberRole.SIDECAR
        )
        addresses = selector.candidates()
        self.assertTrue(
            all(name.startswith("domain-1") for name in addresses[:COUNT])
        )
        self.assertEqual(addresses[-1], SEED)

    def test_draining_gateway_is_not_chosen(self):
        selector = self.create_selector(
            "vm-1", "domain-1", member.MemberRole.SIDECAR
        )
        first = selector.candidates()[0]
        gateway = next(
            gateway
            for gateway in self.members.gateways()
            if gateway.address == first
        )
        self.members.put(
            msgspec.structs.replace(gateway, state=member.MemberState.DRAINING)
        )
        self.assertNotIn(first, selector.candidates())


if __name__ == "__main__":
    unittest.main()
