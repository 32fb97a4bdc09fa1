"""One seeded soak trial."""

import asyncio
import itertools
import pathlib
import random
import time

import msgspec

from tools import entry_deployment
from tools import sampling
from tools.soak import arrival_checker
from tools.soak import caller
from tools.soak import checker
from tools.soak import endpoint_record
from tools.soak import fault
from tools.soak import injector
from tools.soak import process_monitor
from tools.soak import settings
from tools.soak import violation

_MAX_PAUSE_S = 0.6
# Enough for watches of the store, retries and restarts to complete.
_RECOVERY_S = 4.0
_OBSERVATION_S = 2.0
# An evacuation alone takes 7 s, about the length of a short trial.
_SEPARATE_FAULT_SHARE = 0.3
_STUTTERING_COUNTS = (0, 0, 1, 2)


class Trial:
    """Sends requests while one or more series of faults are injected.

    Attributes:
        faults: Injected faults, in order.
        request_count: Number of requests that ended.
        run_count: Number of runs of requests at endpoints.
        stuttering_seeds: Seeds of the stuttering endpoints.
    """

    def __init__(
        self,
        trial_settings: settings.SoakSettings,
        seed: int,
        logs_folder: pathlib.Path | None = None,
    ) -> None:
        """Creates a trial.

        Args:
            trial_settings: Size and duration of the trial.
            seed: Seed of the callers and the faults.
            logs_folder: Folder for the logs of all processes if the trial
                finds violations, or None to keep none.
        """
        self.faults: list[fault.Fault] = []
        self.request_count = 0
        self.run_count = 0
        count = random.Random(f"{seed} stuttering").choice(_STUTTERING_COUNTS)
        self.stuttering_seeds = [f"{seed} {number}" for number in range(count)]
        self._settings = trial_settings
        self._seed = seed
        self._logs_folder = logs_folder

    def run(self) -> list[violation.Violation]:
        """Runs the trial and returns the violations found."""
        deployment = entry_deployment.EntryDeployment(
            self._settings.gateways,
            self._settings.endpoints,
            has_unframed_endpoints=True,
            contracts=("pressure",),
            has_regions=True,
            stuttering_seeds=self.stuttering_seeds,
        )
        try:
            monitor = process_monitor.ProcessMonitor(deployment.gateways)
            with sampling.repeat(monitor.sample):
                history = asyncio.run(self._collect_history(deployment))
            violations = checker.check(
                msgspec.structs.replace(history, processes=monitor.records())
            )
            if violations and self._logs_folder is not None:
                self._write_logs(deployment, self._logs_folder)
            return violations
        finally:
            deployment.stop()

    def _write_logs(
        self,
        deployment: entry_deployment.EntryDeployment,
        folder: pathlib.Path,
    ) -> None:
        """Writes one file for each process of a gateway or endpoint."""
        lines_by_name = {
            gateway.name: [list(process.lines) for process in gateway.processes]
            for gateway in deployment.gateways
        } | {
            endpoint.endpoint_id: endpoint.incarnation_lines
            for endpoint in deployment.all_endpoints
        }
        folder.mkdir(parents=True, exist_ok=True)
        for name, processes in lines_by_name.items():
            for number, lines in enumerate(processes):
                path = folder / f"{self._seed}-{name}-{number}.log"
                path.write_text("\n".join(lines))

    async def _collect_history(
        self, deployment: entry_deployment.EntryDeployment
    ) -> checker.History:
        started_s = time.monotonic()
        callers = caller.Callers(
            deployment.gateways,
            random.Random(self._seed),
            started_s,
            random.Random(f"{self._seed} requests"),
        )
        stop = asyncio.Event()
        calling_task = asyncio.create_task(
            callers.run(self._settings.callers, stop)
        )
        injectors = await asyncio.gather(
            *(
                asyncio.to_thread(self._inject_faults, deployment, series_index)
                for series_index in range(self._settings.series)
            )
        )
        await asyncio.sleep(_RECOVERY_S)
        recovered_at_s = time.monotonic() - started_s
        await asyncio.sleep(_OBSERVATION_S)
        stop.set()
        await calling_task
        executed_ids = [
            run
            for endpoint in deployment.all_endpoints
            for run in endpoint.executed_request_ids
        ]
        self.request_count = len(callers.results)
        self.run_count = len(executed_ids)
        results = callers.results + [
            result
            for fault_injector in injectors
            for result in (
                *fault_injector.poison_prompts.results,
                *fault_injector.large_bodies.results,
                *fault_injector.places.results,
            )
        ]
        records = [
            endpoint_record.parse(
                endpoint.endpoint_id, endpoint.service, lines, endpoint.zone
            )
            for endpoint in deployment.all_endpoints
            for lines in endpoint.incarnation_lines
        ]
        observed = arrival_checker.Observations(
            results,
            records,
            list(
                itertools.chain.from_iterable(
                    fault_injector.disturbances for fault_injector in injectors
                )
            ),
            demands=[
                demand
                for fault_injector in injectors
                for demand in fault_injector.places.demands
            ],
        )
        sent_responses = [
            response
            for endpoint in deployment.stuttering_endpoints
            for response in endpoint.sent_responses()
        ]
        return checker.History(
            results,
            executed_ids,
            recovered_at_s,
            observed,
            sent_responses=sent_responses,
        )

    def _inject_faults(
        self, deployment: entry_deployment.EntryDeployment, series_index: int
    ) -> injector.Injector:
        """Injects one series of faults; the series overlap.

        Returns:
            The injector, with the disturbances that excuse gateways.
        """
        rng = random.Random(f"{self._seed} {series_index}")
        place_rng = random.Random(f"{self._seed} {series_index} places")
        fault_injector = injector.Injector(
            deployment, rng, series_index, self._settings.series, place_rng
        )
        deadline_s = time.monotonic() + self._settings.length_s
        while time.monotonic() < deadline_s:
            time.sleep(rng.uniform(0, _MAX_PAUSE_S))
            fault_kinds = [rng.choice(fault.COMMON_FAULTS)]
            if place_rng.random() < _SEPARATE_FAULT_SHARE:
                fault_kinds.append(place_rng.choice(fault.SEPARATE_FAULTS))
            for fault_kind in fault_kinds:
                self.faults.append(fault_kind)
                fault_injector.inject(fault_kind)
        return fault_injector
