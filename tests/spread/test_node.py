"""Relays, their loss and outages of the platform."""

import unittest

from standins.platform import faults
from tests.spread import spread_case


class NodeTest(spread_case.SpreadCase):
    async def test_few_gateways_watch_and_all_follow(self):
        await self.start_gateways(4)
        await self.start_sidecars(3)
        await self.settled()
        await self.apply()
        self.assertEqual(len(self.watching()), 2)

    async def test_lost_relays_are_replaced(self):
        await self.start_gateways(4)
        await self.start_sidecars(3)
        await self.settled()
        await self.apply()
        for lost in self.watching():
            await self.stop(lost)
            await self.apply()

    async def test_restart_with_empty_memory_during_an_outage(self):
        gateways = await self.start_gateways(2)
        await self.start_sidecars(1)
        await self.apply()
        self.set_fault(faults.FaultMode.OUTAGE)
        seeds = [found.address for found in gateways]
        for role in (spread_case.GATEWAY, spread_case.SIDECAR):
            for domain in ("domain-1", "domain-2"):
                name = f"new-{role.value}-{domain}"
                await self.start(role, name, domain, seeds)
                await self.in_force()
        self.set_fault(faults.FaultMode.NONE)
        await self.apply()

    async def test_numbers_never_go_back(self):
        gateways = await self.start_gateways(3)
        await self.start_sidecars(2)
        await self.settled()
        seen = {found: [] for found in self.processes}
        for process, numbers in seen.items():
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
            numbers = seen[process]
            self.assertEqual(numbers, sorted(set(numbers)))
            self.assertEqual(numbers[-1], 20)


if __name__ == "__main__":
    unittest.main()
