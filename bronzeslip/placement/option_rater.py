"""Rates the candidates for a placement."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.endpoints import report_cache
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import endpoint_cost
from bronzeslip.forwarding import load_forecast
from bronzeslip.load import placement_need
from bronzeslip.placement import engine_view
from bronzeslip.placement import placement_ask
from bronzeslip.placement import placement_option
from bronzeslip.routes import engine_traits

# Region, or the failure domain where the region is not known.
_Neighbourhood = str
_Forecasts = Mapping[endpoint.Endpoint, load_forecast.EndpointForecast]


class OptionRater:
    """Forecasts and rates engines as the choice of a single gateway does."""

    def __init__(
        self,
        this_vm: vm_config.VmConfig,
        endpoints: directory.EndpointDirectory,
        reports: report_cache.ReportCache,
        view: engine_view.EngineView,
        cost: endpoint_cost.EndpointCost,
    ) -> None:
        """Initializes the rater.

        Args:
            this_vm: Region of each failure domain.
            endpoints: Directory of the known endpoints.
            reports: Latest reports of the engines.
            view: Load of the engines.
            cost: Cost of an engine with a given load.
        """
        self._this_vm = this_vm
        self._endpoints = endpoints
        self._reports = reports
        self._view = view
        self._cost = cost

    def options(
        self,
        ask: placement_ask.PlacementAsk,
        candidates: Iterable[endpoint.Endpoint],
        traits: engine_traits.EngineTraits,
    ) -> list[placement_option.PlacementOption]:
        """Returns an option for each candidate."""
        need = placement_need.PlacementNeed(
            ask.service,
            ask.prompt_tokens,
            ask.expected_tokens,
            ask.output_tokens,
            ask.is_long,
        )
        forecasts = {
            candidate: self._view.forecast_need(candidate, need, traits)
            for candidate in candidates
        }
        stable = self._stable_neighbourhoods(need, traits, forecasts)
        return [
            self._option(ask, candidate, forecast, need, traits, stable)
            for candidate, forecast in forecasts.items()
        ]

    def _option(
        self,
        ask: placement_ask.PlacementAsk,
        candidate: endpoint.Endpoint,
        forecast: load_forecast.EndpointForecast,
        need: placement_need.PlacementNeed,
        traits: engine_traits.EngineTraits,
        stable: set[_Neighbourhood],
    ) -> placement_option.PlacementOption:
        cost_s = self._cost.cost_s(candidate, forecast, ask.failure_domain)
        if need.is_long:
            cost_s += endpoint_cost.pause_risk_cost_s(forecast)
        if need.is_long and self._neighbourhood(candidate) not in stable:
            cost_s += endpoint_cost.evacuation_risk_cost_s(
                candidate, need.output_tokens, forecast
            )
        return placement_option.PlacementOption(
            endpoint_id=candidate.endpoint_id,
            cost_s=cost_s,
            wait_s=forecast.prefill_s + forecast.own_prefill_s,
            free_tokens=self._view.free_tokens(
                candidate, need, traits, forecast
            ),
            queued_prefill_s=forecast.prefill_s,
        )

    def _stable_neighbourhoods(
        self,
        need: placement_need.PlacementNeed,
        traits: engine_traits.EngineTraits,
        forecasts: _Forecasts,
    ) -> set[_Neighbourhood]:
        """Returns where the runs of any engine fit into its neighbours."""
        if not need.is_long:
            return set()
        neighbours: dict[_Neighbourhood, list[endpoint.Endpoint]] = {}
        for engine in self._endpoints.ready_endpoints(need.service_name):
            neighbours.setdefault(self._neighbourhood(engine), []).append(
                engine
            )
        return {
            neighbourhood
            for neighbourhood, engines in neighbours.items()
            if endpoint_cost.can_be_evacuated(
                self._used_tokens(engines, forecasts),
                need.expected_tokens,
                len(engines),
                traits.memory_tokens,
            )
        }

    def _used_tokens(
        self, engines: Sequence[endpoint.Endpoint], forecasts: _Forecasts
    ) -> int:
        """Returns the memory in use; the mean for engines without a report."""
        mean_tokens = self._reports.mean_used_tokens
        used_tokens = 0
        for engine in engines:
            if self._reports.get(engine.endpoint_id) is None:
                used_tokens += mean_tokens
            elif engine in forecasts:
                used_tokens += forecasts[engine].used_tokens
            else:
                used_tokens += self._view.used_tokens(engine)
        return used_tokens

    def _neighbourhood(self, engine: endpoint.Endpoint) -> _Neighbourhood:
        domain: ids.FailureDomainName = engine.failure_domain
        return self._this_vm.regions.get(domain, domain)
