"""Decides for all gateways where generations go."""

from collections.abc import Callable
import random
import time

import msgspec

from bronzeslip import logs
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.entry import vm_config
from bronzeslip.load import placement
from bronzeslip.metrics import entry_metrics
from bronzeslip.placement import coordination_duties
from bronzeslip.placement import engine_view
from bronzeslip.placement import option_rater
from bronzeslip.placement import placement_ask
from bronzeslip.placement import placement_decision
from bronzeslip.placement import placement_option
from bronzeslip.placement import placement_policy
from bronzeslip.placement import placement_reply
from bronzeslip.placement import placement_request
from bronzeslip.placement import placement_verdict
from bronzeslip.placement import shard
from bronzeslip.places import permitted_regions
from bronzeslip.quota import coordinators
from bronzeslip.routes import current

logger = logs.get_logger(__name__)

# Engines are polled each 0.5 s, with a timeout of 0.5 s. A report of twice that
# age shows that polls fail or have not begun.
_MAX_REPORT_AGE_S = 2.0
# Share of the engines whose reports have to be recent. Some may be starting or
# frozen, which is no reason to decide without a coordinator.
_MIN_REPORTED_SHARE = 0.5


class PlacementCoordinator:
    """Places generations with what it knows of all earlier placements.

    All of its state is soft. After a start it first polls the engines, and
    declares itself not responsible until most of them have reported.
    """

    def __init__(
        self,
        this_vm: vm_config.VmConfig,
        endpoints: directory.EndpointDirectory,
        gateways: coordinators.Coordinators,
        current_table: current.CurrentTable,
        regions: permitted_regions.PermittedRegionsFilter,
        view: engine_view.EngineView,
        rater: option_rater.OptionRater,
        policy: placement_policy.PlacementPolicy,
        duties: coordination_duties.CoordinationDuties,
        metrics: entry_metrics.EntryMetrics,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the coordinator.

        Args:
            this_vm: This gateway, and the region of each failure domain.
            endpoints: Directory of the known endpoints.
            gateways: Ranks the coordinators of a shard.
            current_table: Current configuration.
            regions: Decides which endpoints a request may reach.
            view: Load of the engines.
            rater: Rates the candidates.
            policy: Decides whether and where a generation is placed.
            duties: Records the shards that are asked for.
            metrics: Counts the placements.
            rng: Chooses among engines with equal costs.
            clock: Clock of the event loop, in seconds.
        """
        self._this_vm = this_vm
        self._endpoints = endpoints
        self._gateways = gateways
        self._current_table = current_table
        self._regions = regions
        self._view = view
        self._rater = rater
        self._policy = policy
        self._duties = duties
        self._metrics = metrics
        self._rng = rng
        self._clock = clock

    def decide(
        self, request: placement_request.PlacementRequest
    ) -> placement_reply.PlacementReply:
        """Decides where a gateway is to send a generation."""
        for request_id in request.ended:
            self._view.end(request_id)
            self._policy.forget(request_id)
        reply = self._decide(self._limited(request.ask))
        self._metrics.count_placement(reply.verdict.value)
        return reply

    def _limited(
        self, ask: placement_ask.PlacementAsk
    ) -> placement_ask.PlacementAsk:
        """Returns an ask whose sizes fit the memory of an engine.

        Gateways limit them too, but the mean prompt must not depend on it.
        """
        table = self._current_table.table
        service = None if table is None else table.service(ask.service)
        if service is None or service.engine is None:
            return ask
        max_tokens = service.engine.memory_tokens
        if max(ask.prompt_tokens, ask.expected_tokens) <= max_tokens:
            return ask
        return msgspec.structs.replace(
            ask,
            prompt_tokens=min(ask.prompt_tokens, max_tokens),
            expected_tokens=min(ask.expected_tokens, max_tokens),
        )

    def _decide(
        self, ask: placement_ask.PlacementAsk
    ) -> placement_reply.PlacementReply:
        asked = shard.Shard(ask.service, ask.shard_index, ask.shard_count)
        table = self._current_table.table
        service = None if table is None else table.service(ask.service)
        if service is None or service.engine is None:
            return placement_reply.NOT_RESPONSIBLE
        ready = self._endpoints.ready_endpoints(ask.service)
        if not asked.is_plausible(len(ready)) or not self._may_coordinate(
            asked
        ):
            return placement_reply.NOT_RESPONSIBLE
        self._duties.record_asked(asked)
        engines = self._engines(asked)
        if not self._is_ready(engines):
            return placement_reply.NOT_RESPONSIBLE
        options = self._rater.options(
            ask, self._candidates(ask, engines), service.engine
        )
        if not options:
            return placement_reply.NOT_RESPONSIBLE
        # Engines with equal costs are chosen about equally.
        self._rng.shuffle(options)
        decision = self._policy.decide(ask, options, self._clock())
        return self._reply(ask, options, decision)

    def _may_coordinate(self, asked: shard.Shard) -> bool:
        """Returns whether this gateway is the coordinator or a fallback.

        In contrast to permits, two coordinators at once do no harm: each of
        them lacks the placements of the other, as single gateways do. So a
        gateway need not wait until all others have listed it.
        """
        return any(
            ranked.vm_id == self._this_vm.vm_id
            for ranked in self._gateways.ranked(asked.key, shard.RANKED_COUNT)
        )

    def _engines(self, asked: shard.Shard) -> list[endpoint.Endpoint]:
        return [
            engine
            for engine in self._endpoints.ready_endpoints(asked.service_name)
            if asked.contains(engine.endpoint_id)
        ]

    def _is_ready(self, engines: list[endpoint.Endpoint]) -> bool:
        """Returns whether enough engines have reported recently."""
        reported = sum(map(self._has_recent_report, engines))
        return reported > 0 and reported >= _MIN_REPORTED_SHARE * len(engines)

    def _has_recent_report(self, engine: endpoint.Endpoint) -> bool:
        return self._view.report_age_s(engine) < _MAX_REPORT_AGE_S

    def _candidates(
        self,
        ask: placement_ask.PlacementAsk,
        engines: list[endpoint.Endpoint],
    ) -> list[endpoint.Endpoint]:
        """Returns the engines that a generation may be placed on.

        Without a recent report an engine would seem idle. New engines are
        polled at once, so these are ones that don't respond, or that a new
        coordinator has not reached yet.
        """
        return [
            engine
            for engine in engines
            if engine.endpoint_id not in ask.excluded
            and self._has_recent_report(engine)
            and self._regions.is_eligible(engine, ask.permitted_regions)
        ]

    def _reply(
        self,
        ask: placement_ask.PlacementAsk,
        options: list[placement_option.PlacementOption],
        decision: placement_decision.PlacementDecision,
    ) -> placement_reply.PlacementReply:
        target = None
        if decision.endpoint_id is not None:
            target = self._endpoints.get(decision.endpoint_id)
        if target is None:
            self._log(ask, options, decision, None)
            return placement_reply.PlacementReply(
                decision.verdict, retry_after_s=decision.retry_after_s
            )
        chosen = next(
            option
            for option in options
            if option.endpoint_id == target.endpoint_id
        )
        self._view.add(
            placement.Placement(
                ask.request_id,
                target.endpoint_id,
                ask.prompt_tokens,
                ask.expected_tokens,
                ask.is_long,
                self._clock(),
            )
        )
        self._log(ask, options, decision, chosen)
        self._metrics.observe_report_age(self._view.report_age_s(target))
        return placement_reply.PlacementReply(
            placement_verdict.PlacementVerdict.PLACED,
            target.endpoint_id,
            target.started_unix_ms,
            wait_s=chosen.wait_s,
        )

    def _log(
        self,
        ask: placement_ask.PlacementAsk,
        options: list[placement_option.PlacementOption],
        decision: placement_decision.PlacementDecision,
        chosen: placement_option.PlacementOption | None,
    ) -> None:
        logger.info(
            "placement.decided",
            request=ask.request_id,
            verdict=decision.verdict,
            endpoint=decision.endpoint_id,
            options=len(options),
            waited_s=round(ask.waited_s, 3),
            least_wait_s=round(min(option.wait_s for option in options), 3),
            cost_s=None if chosen is None else round(chosen.cost_s, 3),
            wait_s=None if chosen is None else round(chosen.wait_s, 3),
            free_tokens=None if chosen is None else chosen.free_tokens,
        )
