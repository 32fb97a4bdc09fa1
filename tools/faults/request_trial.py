"""Runs a cell that involves a request."""

import random

from tools.faults import caller
from tools.faults import cell
from tools.faults import checker
from tools.faults import fault
from tools.faults import history
from tools.faults import injector
from tools.faults import non_streaming_caller
from tools.faults import request_cells
from tools.faults import request_hold
from tools.faults import request_kind
from tools.faults import service_caller
from tools.faults import streaming_caller
from tools.faults import trial_deployment


class RequestTrial:
    """Holds a request at a step, injects a fault and checks the history.

    A second request runs in the background meanwhile; its result is checked
    against the invariants too.
    """

    def __init__(
        self,
        deployment: trial_deployment.TrialDeployment,
        matrix_cell: cell.Cell,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._cell = matrix_cell
        self._name = f"{rng.getrandbits(48):012x}"
        self._gateway_index = rng.randrange(len(deployment.gateways))

    def run(self) -> list[str]:
        """Runs the trial.

        Returns:
            Descriptions of the violations; empty if there are none.
        """
        hold = request_hold.RequestHold(
            self._deployment, self._cell.kind, self._cell.step
        )
        held_caller = self._create_held_caller()
        hold.prepare(held_caller)
        held_caller.start()
        endpoint_index = hold.wait_until_held(held_caller)
        runs_before = self._run_counts()[endpoint_index]
        background_caller = self._create_background_caller()
        background_caller.start()
        injector.Injector(
            self._deployment, held_caller, self._gateway_index, endpoint_index
        ).inject(self._cell.fault)
        hold.release(held_caller)
        held_caller.join()
        background_caller.join()
        counts = self._run_counts()
        counts[endpoint_index] = counts[endpoint_index] or runs_before
        return self._find_violations(held_caller, background_caller, counts)

    def _create_held_caller(self) -> caller.Caller:
        gateways, first_gateway = self._deployment.gateways, self._gateway_index
        if self._cell.kind is request_kind.RequestKind.CALL:
            return service_caller.ServiceCaller(
                gateways, first_gateway, self._name
            )
        caller_types = {
            request_kind.RequestKind.STREAMED: streaming_caller.StreamingCaller,
            request_kind.RequestKind.NON_STREAMED: (
                non_streaming_caller.NonStreamingCaller
            ),
        }
        return caller_types[self._cell.kind](
            gateways, first_gateway, self._name, request_hold.LENGTH_TOKENS
        )

    def _create_background_caller(self) -> caller.Caller:
        return non_streaming_caller.NonStreamingCaller(
            self._deployment.gateways,
            self._gateway_index,
            f"bystander {self._name}",
            request_hold.LENGTH_TOKENS,
        )

    def _find_violations(
        self,
        held_caller: caller.Caller,
        background_caller: caller.Caller,
        counts: list[dict[str, int]],
    ) -> list[str]:
        events: list[history.Event] = [background_caller.result()]
        abandoned = self._cell.fault is fault.Fault.KILL_CALLER
        if not abandoned:
            events.append(held_caller.result())
        events.extend(_endpoint_runs(counts))
        violations = [
            f"{violation.invariant.value}: {violation.detail}"
            for violation in checker.check(events)
        ]
        allowed = request_cells.allowed_outcomes(self._cell)
        if held_caller.outcome not in allowed:
            violations.append(
                f"unexpected outcome: {held_caller.outcome.value}"
            )
        return violations

    def _run_counts(self) -> list[dict[str, int]]:
        """Returns how often each endpoint has run each body.

        The counts of engines and of exited endpoints are empty.
        """
        counts: list[dict[str, int]] = [{} for _ in self._deployment.engines]
        for endpoint in self._deployment.plain_endpoints:
            alive = endpoint.exit_status is None
            endpoint_counts = (
                trial_deployment.get(endpoint, "/standin/runs") if alive else {}
            )
            counts.append(endpoint_counts)
        return counts


def _endpoint_runs(counts: list[dict[str, int]]) -> list[history.EndpointRun]:
    return [
        history.EndpointRun(f"endpoint-{index}", body)
        for index, endpoint_counts in enumerate(counts)
        for body, count in endpoint_counts.items()
        for _ in range(count)
    ]
