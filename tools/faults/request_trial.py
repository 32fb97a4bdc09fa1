"""Runs a cell that is about a request."""

import random

from tools.faults import caller
from tools.faults import cell
from tools.faults import checker
from tools.faults import fault
from tools.faults import fleet
from tools.faults import history
from tools.faults import holder
from tools.faults import injector
from tools.faults import request_cells
from tools.faults import request_kind
from tools.faults import service_caller
from tools.faults import streamed_caller
from tools.faults import whole_caller


class RequestTrial:
    """One request held at a step, hit by a fault, beside a bystander."""

    def __init__(
        self, ground: fleet.Fleet, wanted: cell.Cell, rng: random.Random
    ) -> None:
        self._fleet = ground
        self._cell = wanted
        self._name = f"{rng.getrandbits(48):012x}"
        self._gateway_index = rng.randrange(len(ground.gateways))

    def run(self) -> list[str]:
        """Runs the trial.

        Returns:
            What was wrong; empty if nothing was.
        """
        held = holder.Holder(self._fleet, self._cell.kind, self._cell.step)
        subject = self._subject()
        held.prepare(subject)
        subject.start()
        endpoint_index = held.reach(subject)
        runs_before = self._counts()[endpoint_index]
        bystander = self._bystander()
        bystander.start()
        injector.Injector(
            self._fleet, subject, self._gateway_index, endpoint_index
        ).inject(self._cell.fault)
        held.release(subject)
        subject.join()
        bystander.join()
        counts = self._counts()
        counts[endpoint_index] = counts[endpoint_index] or runs_before
        return self._judge(subject, bystander, counts)

    def _subject(self) -> caller.Caller:
        gateways, first = self._fleet.gateways, self._gateway_index
        if self._cell.kind is request_kind.RequestKind.CALL:
            return service_caller.ServiceCaller(gateways, first, self._name)
        kinds = {
            request_kind.RequestKind.STREAMED: streamed_caller.StreamedCaller,
            request_kind.RequestKind.WHOLE: whole_caller.WholeCaller,
        }
        return kinds[self._cell.kind](
            gateways, first, self._name, holder.LENGTH_TOKENS
        )

    def _bystander(self) -> caller.Caller:
        return whole_caller.WholeCaller(
            self._fleet.gateways,
            self._gateway_index,
            f"bystander {self._name}",
            holder.LENGTH_TOKENS,
        )

    def _judge(
        self,
        subject: caller.Caller,
        bystander: caller.Caller,
        counts: list[dict[str, int]],
    ) -> list[str]:
        events: list[history.Event] = [bystander.answer()]
        abandoned = self._cell.fault is fault.Fault.KILL_CALLER
        if not abandoned:
            events.append(subject.answer())
        events.extend(_runs(counts))
        wrong = [
            f"{found.promise.value}: {found.detail}"
            for found in checker.check(events)
        ]
        allowed = request_cells.allowed_outcomes(self._cell)
        if subject.outcome not in allowed:
            wrong.append(f"ended as {subject.outcome.value}")
        return wrong

    def _counts(self) -> list[dict[str, int]]:
        """Reads how often each endpoint has run each body.

        An engine, or an endpoint that has died, has run none.
        """
        counts: list[dict[str, int]] = [{} for _ in self._fleet.engines]
        for endpoint in self._fleet.plain_endpoints:
            alive = endpoint.exit_status is None
            shown = fleet.get(endpoint, "/standin/runs") if alive else {}
            counts.append(shown)
        return counts


def _runs(counts: list[dict[str, int]]) -> list[history.EndpointRun]:
    return [
        history.EndpointRun(f"endpoint-{index}", body)
        for index, shown in enumerate(counts)
        for body, count in shown.items()
        for _ in range(count)
    ]
