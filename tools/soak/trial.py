"""One seeded trial."""

import asyncio
import random
import time

from tools import entry_deployment
from tools.soak import caller
from tools.soak import checker
from tools.soak import fault
from tools.soak import injector
from tools.soak import settings
from tools.soak import violation

_MAX_PAUSE_S = 0.6
# Watches at the store, repeats and restarts come to an end within it.
_HEALING_S = 4.0
_SERVED_S = 2.0


class Trial:
    """Has callers call while faults come in series and beside each other.

    Attributes:
        faults: Faults that came, in order.
        answer_count: Requests that came to an end.
        run_count: Runs of requests at endpoints.
    """

    def __init__(self, wanted: settings.SoakSettings, seed: int) -> None:
        """Creates a trial.

        Args:
            wanted: Size and length.
            seed: Seed of callers and faults.
        """
        self.faults: list[fault.Fault] = []
        self.answer_count = 0
        self.run_count = 0
        self._settings = wanted
        self._seed = seed

    def run(self) -> list[violation.Violation]:
        """Plays the trial and returns the promises that it broke."""
        deployment = entry_deployment.EntryDeployment(
            self._settings.gateways, self._settings.endpoints
        )
        try:
            return checker.check(asyncio.run(self._play(deployment)))
        finally:
            deployment.stop()

    async def _play(
        self, deployment: entry_deployment.EntryDeployment
    ) -> checker.History:
        began_s = time.monotonic()
        callers = caller.Callers(
            deployment.gateways, random.Random(self._seed), began_s
        )
        stop = asyncio.Event()
        calling = asyncio.create_task(callers.run(self._settings.callers, stop))
        await asyncio.gather(
            *(
                asyncio.to_thread(self._bring_faults, deployment, number)
                for number in range(self._settings.series)
            )
        )
        await asyncio.sleep(_HEALING_S)
        healed_at_s = time.monotonic() - began_s
        await asyncio.sleep(_SERVED_S)
        stop.set()
        await calling
        runs = [run for found in deployment.endpoints for run in found.runs]
        self.answer_count = len(callers.answers)
        self.run_count = len(runs)
        return checker.History(callers.answers, runs, healed_at_s)

    def _bring_faults(
        self, deployment: entry_deployment.EntryDeployment, number: int
    ) -> None:
        """Brings one series of faults; series overlap each other."""
        rng = random.Random(f"{self._seed} {number}")
        bringing = injector.Injector(
            deployment, rng, number, self._settings.series
        )
        end_s = time.monotonic() + self._settings.length_s
        while time.monotonic() < end_s:
            time.sleep(rng.uniform(0, _MAX_PAUSE_S))
            wanted = rng.choice(tuple(fault.Fault))
            self.faults.append(wanted)
            bringing.inject(wanted)
