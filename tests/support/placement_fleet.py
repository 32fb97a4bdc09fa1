"""Gateways and engines in virtual time that place generations together."""

import asyncio
import random

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import failure_tracker
from bronzeslip.endpoints import in_flight_requests
from bronzeslip.endpoints import proximity
from bronzeslip.endpoints import report
from bronzeslip.endpoints import report_cache
from bronzeslip.endpoints import watched_endpoints
from bronzeslip.entry import contract
from bronzeslip.forwarding import chooser
from bronzeslip.forwarding import connection_share
from bronzeslip.forwarding import endpoint_errors
from bronzeslip.forwarding import load_forecast
from bronzeslip.forwarding import prompt
from bronzeslip.forwarding import report_poller
from bronzeslip.load import placement_ledger
from bronzeslip.membership import rendezvous
from bronzeslip.metrics import entry_metrics
from bronzeslip.placement import assembly
from bronzeslip.placement import shard
from bronzeslip.places import permitted_regions
from bronzeslip.quota import errors
from bronzeslip.routes import current
from bronzeslip.routes import kind
from tests.support import forwarding_parts

REPORT_LAG_S = 0.5
_PREFILL_TOKENS_PER_S = 7000.0
_TOKEN_S = 0.008
_PEER_TIMEOUT_S = 0.3
_DOMAINS = ("a-1", "a-2", "b-1")


class Engine:
    """Engine that processes prompts in order while it generates others."""

    def __init__(self, described):
        self.endpoint = described
        self.is_silent = False
        self.polls = 0
        self.request_count = 0
        self._prefill_end_s = 0.0
        self._runs = {}

    def add(self, request_id, prompt_tokens, output_tokens):
        """Returns the times of the first and the last token."""
        self.request_count += 1
        now_s = _now_s()
        first_s = max(self._prefill_end_s, now_s)
        first_s += prompt_tokens / _PREFILL_TOKENS_PER_S
        self._prefill_end_s = first_s
        end_s = first_s + output_tokens * _TOKEN_S
        self._runs[request_id] = (now_s, first_s, end_s, prompt_tokens)
        return first_s, end_s

    def report(self):
        """Returns the state of some time ago."""
        self.polls += 1
        time_s = _now_s() - REPORT_LAG_S
        runs = tuple(
            report.RunReport(
                request_id,
                prompt_tokens if time_s >= first_s else 0,
                int(max(time_s - first_s, 0) / _TOKEN_S),
            )
            for request_id, (
                added_s,
                first_s,
                end_s,
                prompt_tokens,
            ) in self._runs.items()
            if added_s <= time_s < end_s
        )
        used_tokens = sum(run.memory_tokens + run.events for run in runs)
        return forwarding_parts.create_report(
            used_tokens, running=len(runs), runs=runs
        )


class Gateway:
    """A gateway with its own directory, reports and coordinator."""

    def __init__(self, fleet, vm_id, contracts):
        self.is_running = True
        self.is_frozen = False
        self.known_gateways = set()
        self._fleet = fleet
        this_vm = msgspec.structs.replace(
            forwarding_parts.VM_CONFIG,
            vm_id=ids.VmId(vm_id),
            failure_domain=fleet.rng.choice(_DOMAINS),
            contracts=contracts,
        )
        self.vm_id = this_vm.vm_id
        settings = forwarding_parts.SETTINGS
        self.directory = directory.EndpointDirectory(settings)
        self.directory.replace_all(
            engine.endpoint for engine in fleet.engines.values()
        )
        table = current.CurrentTable()
        table.adopt(forwarding_parts.create_table())
        in_flight = in_flight_requests.InFlightRequests()
        reports = report_cache.ReportCache()
        failures = failure_tracker.FailureTracker()
        watched = watched_endpoints.WatchedEndpoints(
            settings, this_vm, self.directory, table
        )
        regions = permitted_regions.PermittedRegionsFilter(this_vm)
        ledger = placement_ledger.PlacementLedger(_now_s)
        self.ledger = ledger
        reports.add_listener(ledger.apply_report)
        self.reports = reports
        self.directory.add_gone_listener(ledger.remove)
        forecaster = load_forecast.LoadForecaster(
            settings, in_flight, reports, ledger=ledger, clock=_now_s
        )
        connections = connection_share.ConnectionShare(
            settings, self.directory, in_flight, self
        )
        local = chooser.CostChooser(
            this_vm,
            self.directory,
            watched,
            proximity.EndpointProximity(this_vm, self.directory),
            forecaster,
            failures,
            connections,
            regions,
            fleet.rng,
        )
        self.metrics = entry_metrics.EntryMetrics(table, self.directory)
        self.local_choices = []
        self.metrics.count_local_choice = self.local_choices.append
        self.placements = []
        self.metrics.count_placement = self.placements.append
        self.in_flight = in_flight
        self.parts = assembly.create(
            settings,
            this_vm,
            table,
            self.directory,
            in_flight,
            reports,
            failures,
            local,
            connections,
            self,
            self,
            self,
            self.metrics,
            forecaster,
            ledger,
            regions,
            lambda _: False,
            fleet.rng,
            _now_s,
        )
        poller = report_poller.ReportPoller(
            settings,
            self.directory,
            watched,
            in_flight,
            self,
            reports,
            lambda: [forwarding_parts.ENGINE_SERVICE.name],
            self.parts.polled_engines,
        )
        self.parts.duties.add_begun_listener(poller.refresh)
        self.tasks = [asyncio.create_task(poller.run())]

    # The registry.
    is_known = True

    @property
    def count(self):
        return len(self._fleet.gateways)

    def ranked(self, key, count=2):
        names = self.known_gateways or self._fleet.names
        ordered = rendezvous.ranked(names, str, key)[:count]
        return tuple(map(forwarding_parts.create_peer, ordered))

    # The client for engines.
    async def report(self, target):
        await asyncio.sleep(0.002)
        engine = self._fleet.engines[target.endpoint_id]
        if engine.is_silent:
            await asyncio.sleep(0.5)
            raise endpoint_errors.EndpointResponseLostError("silent")
        return engine.report()

    # The client for other gateways.
    async def place(self, target, request):
        await asyncio.sleep(0.002)
        other = self._fleet.gateways[target.vm_id]
        if not other.is_running:
            raise errors.PeerUnavailableError("refused")
        link = frozenset((self.vm_id, target.vm_id))
        if other.is_frozen or link in self._fleet.cut_links:
            await asyncio.sleep(_PEER_TIMEOUT_S)
            raise errors.PeerUnavailableError("timeout")
        # Both messages pass through their encoding.
        sent = msgspec.json.decode(
            msgspec.json.encode(request), type=type(request)
        )
        return other.parts.coordinator.decide(sent)

    async def serve(self, request_id, prompt_tokens, output_tokens):
        """Serves a generation; returns the time to its first token."""
        started_s = _now_s()
        request = forwarding_parts.admit(
            forwarding_parts.create_request(
                request_id=ids.RequestId(request_id),
                shape=prompt.PromptShape("m", prompt_tokens, output_tokens),
            ),
            kind.RequestKind.STREAM,
            forwarding_parts.ENGINE_SERVICE,
        )
        chosen = await self.parts.chooser.choose(request, frozenset())
        is_long = chooser.is_long_generation(request)
        with self.in_flight.track(
            chosen.endpoint_id,
            prompt_tokens,
            prompt_tokens + output_tokens,
            is_long,
        ):
            first_s, end_s = self._fleet.engines[chosen.endpoint_id].add(
                request_id, prompt_tokens, output_tokens
            )
            await asyncio.sleep(end_s - _now_s())
        self.parts.chooser.end(request.request.request_id)
        return first_s - started_s

    def kill(self):
        self.is_running = False
        for task in self.tasks:
            task.cancel()


class Fleet:
    """Gateways and engines that exchange messages inside the process."""

    def __init__(self, gateway_count, engine_count, is_coordinated=True):
        self.rng = random.Random(7)
        self.cut_links = set()
        self.engines = {}
        for number in range(engine_count):
            name = f"engine-{number}"
            self.engines[name] = Engine(
                forwarding_parts.create_endpoint(
                    name, _DOMAINS[number % len(_DOMAINS)]
                )
            )
        self._contracts = frozenset(
            {contract.Contract.PRESSURE} if is_coordinated else ()
        )
        self.names = [f"front-{number}" for number in range(gateway_count)]
        self.gateways = {}
        for name in self.names:
            self.start(name)
        self._request_count = 0

    def start(self, name):
        """Starts a gateway, or restarts it without its state."""
        self.gateways[name] = Gateway(self, name, self._contracts)

    @property
    def coordinators(self):
        """Names of the coordinator and its first fallback."""
        return self.ranked[:2]

    @property
    def ranked(self):
        """Names of all gateways that may coordinate."""
        any_gateway = next(iter(self.gateways.values()))
        ranked = any_gateway.ranked("placement/pool/0/1", shard.RANKED_COUNT)
        return [each.vm_id for each in ranked]

    @property
    def poll_count(self):
        return sum(engine.polls for engine in self.engines.values())

    async def play(self, duration_s, requests_per_s):
        """Sends requests at random; returns their times to a first token."""
        end_s = _now_s() + duration_s
        running = []
        while _now_s() < end_s:
            running_gateways = [
                gateway
                for gateway in self.gateways.values()
                if gateway.is_running and not gateway.is_frozen
            ]
            gateway = self.rng.choice(running_gateways)
            self._request_count += 1
            prompt_tokens, output_tokens = self.rng.choice(
                ((1000, 60), (3000, 600))
            )
            running.append(
                asyncio.create_task(
                    gateway.serve(
                        f"q{self._request_count}", prompt_tokens, output_tokens
                    )
                )
            )
            await asyncio.sleep(self.rng.expovariate(requests_per_s))
        return await asyncio.gather(*running)


def quantile(values, share):
    """Returns the value that a share of the values do not exceed."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def _now_s():
    return asyncio.get_running_loop().time()
