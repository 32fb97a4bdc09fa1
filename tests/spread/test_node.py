"""Tests of replication, lost relays and platform outages."""

import unittest

from standins.platform import faults
from tests.spread import replication_case


class NodeTest(replication_case.ReplicationCase):
    async def test_two_gateways_watch_and_all_processes_follow(self):
        await self.start_gateways(4)
        await self.start_sidecars(3)
        await self.wait_until_watchers_selected()
        await self.apply()
        self.assertEqual(len(self.watchers()), 2)

    async def test_lost_relays_are_replaced(self):
        await self.start_gateways(4)
        await self.start_sidecars(3)
        await self.wait_until_watchers_selected()
        await self.apply()
        for relay in self.watchers():
            await self.stop(relay)
            await self.apply()

    async def test_cold_start_from_seed_peers_during_an_outage(self):
        gateways = await self.start_gateways(2)
        await self.start_sidecars(1)
        await self.apply()
        self.set_fault(faults.FaultMode.OUTAGE)
        seeds = [gateway.address for gateway in gateways]
        for role in (replication_case.GATEWAY, replication_case.SIDECAR):
            for domain in ("domain-1", "domain-2"):
                name = f"new-{role.value}-{domain}"
                await self.start(role, name, domain, seeds)
                await self.wait_until_applied()
        self.set_fault(faults.FaultMode.NONE)
        await self.apply()

    async def test_numbers_never_decrease(self):
        gateways = await self.start_gateways(3)
        await self.start_sidecars(2)
        await self.wait_until_watchers_selected()
        observed = {process: [] for process in self.processes}
        for process, numbers in observed.items():
            configuration = process.service.configuration
            configuration.add_listener(
                lambda numbers=numbers, configuration=configuration: (
                    numbers.append(configuration.number)
                )
            )
        for _ in range(10):
            await self.apply()
        await self.stop(gateways[0])
        for _ in range(10):
            await self.apply()
        for process in self.processes:
            numbers = observed[process]
            self.assertEqual(numbers, sorted(set(numbers)))
            self.assertEqual(numbers[-1], 20)


if __name__ == "__main__":
    unittest.main()
