"""Explains where a gateway would send a request."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import random

import msgspec

from bronzeslip import ids
from bronzeslip.entry import vm_config
from bronzeslip.explanation import decision
from bronzeslip.explanation import endpoint_viewer
from bronzeslip.explanation import explanation
from bronzeslip.explanation import explanation_request
from bronzeslip.explanation import service_explanation
from bronzeslip.explanation import verdict
from bronzeslip.forwarding import admission
from bronzeslip.forwarding import admitted
from bronzeslip.forwarding import components
from bronzeslip.forwarding import errors
from bronzeslip.forwarding import excluded_endpoints
from bronzeslip.forwarding import incoming
from bronzeslip.forwarding import matched_request
from bronzeslip.forwarding import prompt
from bronzeslip.forwarding import resumption_reserve
from bronzeslip.places import permitted_regions
from bronzeslip.routes import route
from bronzeslip.routes import route_table

Verdict = verdict.Verdict

_REQUEST_ID = ids.RequestId("explanation")


class Explainer:
    """Takes the decisions on a request without carrying them out.

    It acquires no permit and no share, asks no coordinator and draws nothing
    from the gateway's source of random choices.
    """

    def __init__(
        self,
        this_vm: vm_config.VmConfig,
        shared: components.ForwardingComponents,
        admitter: admission.Admission,
        viewer: endpoint_viewer.EndpointViewer,
        http_status: Callable[[errors.ForwardingError], int],
        rng: random.Random,
    ) -> None:
        """Initializes the explainer.

        Args:
            this_vm: This gateway.
            shared: Components of the gateway, which are only read.
            admitter: Admits requests; does not share its source of random
                choices with the gateway's.
            viewer: Describes the endpoints.
            http_status: Returns the status of the response to a refusal.
            rng: Source of retry times, not shared either.
        """
        self._this_vm = this_vm
        self._shared = shared
        self._admitter = admitter
        self._viewer = viewer
        self._http_status = http_status
        self._rng = rng
        self._lock = asyncio.Lock()

    async def explain(
        self, asked: explanation_request.ExplanationRequest
    ) -> explanation.Explanation:
        """Explains where a request would be sent now, one at a time."""
        async with self._lock:
            return await self._explain(asked)

    async def _explain(
        self, asked: explanation_request.ExplanationRequest
    ) -> explanation.Explanation:
        request = _to_incoming(asked)
        table = self._shared.current.table
        version = None if table is None else table.version
        try:
            matched = self._admitter.match(request)
        except errors.ForwardingError as error:
            return explanation.Explanation(
                gateway=self._this_vm.vm_id,
                configuration=version,
                route=_matched_route_name(table, asked),
                refusal=self._refusal(error),
            )
        return await self._explain_matched(
            _with_size(request, matched, asked), matched
        )

    async def _explain_matched(
        self,
        request: incoming.IncomingRequest,
        matched: matched_request.MatchedRequest,
    ) -> explanation.Explanation:
        services = [
            await self._explain_service(request, matched, option)
            for option in matched.route.services
        ]
        workspace = matched.workspace
        regions = permitted_regions.intersect(
            matched.route.permitted_regions,
            workspace.permitted_regions if workspace else None,
        )
        return explanation.Explanation(
            gateway=self._this_vm.vm_id,
            configuration=matched.table.version,
            route=matched.route.name,
            workspace=workspace.workspace_id if workspace else None,
            permitted_regions=None
            if regions is None
            else tuple(sorted(regions)),
            services=tuple(services),
        )

    async def _explain_service(
        self,
        request: incoming.IncomingRequest,
        matched: matched_request.MatchedRequest,
        option: route.WeightedService,
    ) -> service_explanation.ServiceExplanation:
        total = sum(entry.weight for entry in matched.route.services)
        share = option.weight / total if total else 0.0
        name = option.service_name
        try:
            admitted_request = self._admitter.admit_to(request, matched, name)
        except errors.ForwardingError as error:
            return service_explanation.ServiceExplanation(
                service=name,
                share=share,
                is_coordinated=False,
                coordinators=(),
                decision=self._refusal(error),
                endpoints=(),
            )
        placement = self._shared.placement.chooser
        is_coordinated = placement.is_coordinated(admitted_request)
        coordinators: tuple[ids.VmId, ...] = ()
        if is_coordinated:
            coordinators = tuple(
                target.vm_id
                for target in placement.coordinators(admitted_request)
            )
        denied_s = self._shared.permits.denied_s(
            name, resumption_reserve.reserved_by(admitted_request)
        )
        return service_explanation.ServiceExplanation(
            service=name,
            share=share,
            is_coordinated=is_coordinated,
            coordinators=coordinators,
            decision=self._decide(
                admitted_request, denied_s, bool(coordinators)
            ),
            endpoints=await self._viewer.view_all(
                admitted_request, denied_s, is_coordinated
            ),
        )

    def _decide(
        self,
        request: admitted.AdmittedRequest,
        denied_s: Mapping[ids.EndpointId, float],
        has_coordinator: bool,
    ) -> decision.Decision:
        """Returns the decision; with a coordinator, the one without a reply."""
        chooser = self._shared.endpoint_chooser
        ready = self._shared.endpoints.ready_endpoints(request.service.name)
        excluded = excluded_endpoints.ExcludedEndpoints(
            denied_s.keys(), self._shared.cold_limits, request, ready
        )
        try:
            candidates = chooser.candidates(request, excluded, self._rng)
        except errors.NotRunError as error:
            refused = self._refusal(self._limited(request, denied_s, error))
            if not has_coordinator:
                return refused
            return msgspec.structs.replace(
                refused, verdict=Verdict.ASK_COORDINATOR
            )
        taken = Verdict.ASK_COORDINATOR if has_coordinator else Verdict.SEND
        preferred = chooser.preferred(request, candidates)
        return decision.Decision(
            verdict=taken,
            endpoint_id=preferred.endpoint_id,
        )

    def _limited(
        self,
        request: admitted.AdmittedRequest,
        denied_s: Mapping[ids.EndpointId, float],
        error: errors.NotRunError,
    ) -> errors.NotRunError:
        """Returns the error of a request that lacks only a permit or a share.

        Its retry time is the earliest one. A gateway spreads the actual times
        over the clients that it refuses, which an explanation must not affect.
        """
        if isinstance(error, errors.OverloadedError):
            return error
        name = request.service.name
        delays_s = [
            delay_s
            for candidate in self._shared.endpoints.ready_endpoints(name)
            if self._shared.regions.is_eligible(
                candidate, request.permitted_regions
            )
            and (
                delay_s := denied_s.get(candidate.endpoint_id, 0.0)
                or self._shared.cold_limits.delay_s(
                    candidate.endpoint_id, request
                )
            )
        ]
        if not delays_s:
            return error
        pause_s = self._shared.endpoints.shortest_pause_s(
            name,
            lambda candidate: self._shared.regions.is_eligible(
                candidate, request.permitted_regions
            ),
        )
        if pause_s is not None:
            delays_s.append(pause_s)
        return errors.LimitedError(
            f"no endpoint of service {name} takes more requests",
            retry_after_s=min(delays_s),
        )

    def _refusal(self, error: errors.ForwardingError) -> decision.Decision:
        return decision.Decision(
            verdict=Verdict.REFUSE,
            status=self._http_status(error),
            code=error.code,
            reason=error.message,
            retry_after_s=error.retry_after_s,
        )


def _to_incoming(
    asked: explanation_request.ExplanationRequest,
) -> incoming.IncomingRequest:
    return incoming.IncomingRequest(
        request_id=_REQUEST_ID,
        method="POST",
        target=b"",
        host=asked.host.lower(),
        path=asked.path,
        headers=(),
        body=b"",
        key=asked.key,
        arrived_s=asyncio.get_running_loop().time(),
    )


def _with_size(
    request: incoming.IncomingRequest,
    matched: matched_request.MatchedRequest,
    asked: explanation_request.ExplanationRequest,
) -> incoming.IncomingRequest:
    """Adds the size of a generation; what is not stated counts as 0."""
    if not matched.route.is_generation and (
        asked.prompt_tokens is None and asked.output_tokens is None
    ):
        return request
    shape = prompt.PromptShape(
        "", asked.prompt_tokens or 0, asked.output_tokens or 0
    )
    return msgspec.structs.replace(request, shape=shape)


def _matched_route_name(
    table: route_table.RouteTable | None,
    asked: explanation_request.ExplanationRequest,
) -> ids.RouteName | None:
    matched = None if table is None else table.match(asked.host, asked.path)
    return None if matched is None else matched.name
