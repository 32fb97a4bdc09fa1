"""Tests of bronzeslip.explanation.explainer without network."""

import asyncio
import collections
import unittest

import msgspec

from bronzeslip import ids
from bronzeslip.endpoints import endpoint
from bronzeslip.explanation import exclusion
from bronzeslip.explanation import verdict
from bronzeslip.forwarding import errors
from bronzeslip.load import load_statement
from bronzeslip.routes import kind
from bronzeslip.routes import route
from bronzeslip.settings import entry
from tests.support import explaining_gateway
from tests.support import forwarding_parts

Exclusion = exclusion.Exclusion
Verdict = verdict.Verdict

_REGION_A = frozenset({ids.RegionName("a")})
_REGION_B = frozenset({ids.RegionName("b")})


def _gateway(**route_changes):
    gateway = explaining_gateway.ExplainingGateway(
        [
            forwarding_parts.create_endpoint("one", "a-1"),
            forwarding_parts.create_endpoint("two", "a-2"),
            forwarding_parts.create_endpoint("three", "b-1"),
        ]
    )
    gateway.adopt(**route_changes)
    return gateway


def _state_pace(gateway, name):
    target = gateway.components.endpoints.get(ids.EndpointId(name))
    now_s = asyncio.get_running_loop().time()
    gateway.components.endpoints.load_statements.state(
        target, load_statement.LoadStatement(0, 0, 24, 1.3, now_s)
    )


def _limit(gateway, name, rate_per_s):
    target = gateway.components.endpoints.get(ids.EndpointId(name))
    gateway.components.endpoints.request_limits.state(target, rate_per_s)
    return target


def _exclusions(service):
    return {view.endpoint_id: view.excluded_by for view in service.endpoints}


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_gateway_without_configuration_refuses(self):
        explained = await explaining_gateway.ExplainingGateway([]).explain()
        self.assertEqual(explained.refusal.status, 503)
        self.assertIsNone(explained.configuration)

    async def test_unknown_path_is_not_found(self):
        explained = await _gateway().explain(path="/other")
        self.assertEqual(explained.refusal.status, 404)
        self.assertIsNone(explained.route)

    # Guards against an explanation that discloses the key.
    async def test_unknown_key_is_refused_and_not_repeated(self):
        for key in (None, "secret-of-nobody"):
            with self.subTest(key=key):
                explained = await _gateway().explain(key=key)
                self.assertEqual(explained.refusal.status, 401)
                self.assertEqual(explained.route, "r")
                encoded = msgspec.json.encode(explained)
                self.assertNotIn(b"secret-of-nobody", encoded)

    # Guards against an explanation that discloses the key.
    async def test_valid_key_is_not_repeated(self):
        explained = await _gateway().explain()
        self.assertEqual(explained.workspace, "w")
        encoded = msgspec.json.encode(explained)
        self.assertNotIn(forwarding_parts.API_KEY.encode(), encoded)

    async def test_regions_without_overlap_are_refused(self):
        gateway = _gateway(
            permitted_regions=_REGION_A, workspace_regions=_REGION_B
        )
        [service] = (await gateway.explain()).services
        self.assertEqual(service.decision.status, 503)
        self.assertEqual(service.decision.code, "no-eligible-endpoint")
        self.assertGreater(service.decision.retry_after_s, 0)

    async def test_all_endpoints_evacuated(self):
        gateway = _gateway()
        for name in ("a-1", "a-2", "b-1"):
            domain = ids.FailureDomainName(name)
            gateway.components.endpoints.evacuated_domains.add(domain)
        [service] = (await gateway.explain()).services
        self.assertEqual(service.decision.code, "evacuated")
        self.assertEqual(
            set(_exclusions(service).values()), {(Exclusion.EVACUATED,)}
        )

    async def test_denied_permits_limit_the_service(self):
        gateway = explaining_gateway.ExplainingGateway(
            [forwarding_parts.create_endpoint("one")]
        )
        gateway.adopt()
        target = _limit(gateway, "one", 0.5)
        delay_s = await gateway.components.permits.acquire(target, 1.0)
        self.assertGreater(delay_s, 0)
        [service] = (await gateway.explain()).services
        self.assertEqual(service.decision.code, "limited")
        self.assertAlmostEqual(
            service.decision.retry_after_s, delay_s, delta=0.2
        )
        self.assertEqual(_exclusions(service)["one"], (Exclusion.NO_PERMIT,))


class ChoiceTest(unittest.IsolatedAsyncioTestCase):
    async def test_endpoint_with_the_least_cost_is_named(self):
        gateway = _gateway()
        gateway.components.failures.record_failure("one", 4.0)
        [service] = (await gateway.explain()).services
        costs_s = {view.endpoint_id: view.cost_s for view in service.endpoints}
        self.assertIs(service.decision.verdict, Verdict.SEND)
        self.assertEqual(service.decision.endpoint_id, "two")
        self.assertEqual(min(costs_s, key=costs_s.get), "two")
        self.assertEqual(set(_exclusions(service).values()), {()})

    # Guards against an explanation that differs from the actual choice.
    async def test_explained_endpoint_is_chosen(self):
        gateway = _gateway()
        for name in ("one", "three"):
            gateway.components.failures.record_failure(name, 8.0)
        [service] = (await gateway.explain()).services
        chosen = await gateway.components.permitted_chooser.choose(
            forwarding_parts.admit_generation(), frozenset(), 0.0
        )
        self.assertEqual(service.decision.endpoint_id, chosen.endpoint_id)

    async def test_reasons_of_endpoints_that_are_not_used(self):
        gateway = _gateway(permitted_regions=_REGION_A)
        endpoints = gateway.components.endpoints
        endpoints.pause(endpoints.get(ids.EndpointId("one")), 3.0)
        leaving = endpoint.EndpointState.LEAVING
        endpoints.put(forwarding_parts.create_endpoint("four", state=leaving))
        endpoints.put(forwarding_parts.create_endpoint("five"))
        endpoints.set_reachable(endpoints.get(ids.EndpointId("five")), False)
        explained = await gateway.explain()
        [service] = explained.services
        self.assertEqual(explained.permitted_regions, ("a",))
        self.assertEqual(service.decision.endpoint_id, "two")
        self.assertEqual(
            _exclusions(service),
            {
                "one": (Exclusion.PAUSED,),
                "two": (),
                "three": (Exclusion.OTHER_REGION,),
                "four": (Exclusion.LEAVING,),
                "five": (Exclusion.UNREACHABLE,),
            },
        )

    # Guards against a reason for endpoints that are used since none is better.
    async def test_unreachable_endpoints_are_used_if_no_other_is_left(self):
        gateway = _gateway()
        endpoints = gateway.components.endpoints
        for target in endpoints.endpoints:
            endpoints.set_reachable(target, False)
        [service] = (await gateway.explain()).services
        self.assertIs(service.decision.verdict, Verdict.SEND)
        self.assertEqual(set(_exclusions(service).values()), {()})
        self.assertTrue(all(view.is_unreachable for view in service.endpoints))

    async def test_endpoints_beyond_the_watched_ones_are_named(self):
        gateway = explaining_gateway.ExplainingGateway(
            [
                forwarding_parts.create_endpoint(f"{domain}-{index}", domain)
                for domain in ("a-1", "b-1")
                for index in range(4)
            ],
            entry.EntrySettings(watched_endpoints=5),
        )
        gateway.adopt()
        [service] = (await gateway.explain()).services
        exclusions = _exclusions(service)
        self.assertEqual(exclusions[service.decision.endpoint_id], ())
        self.assertEqual(
            collections.Counter(exclusions.values()),
            {(): 5, (Exclusion.NOT_WATCHED,): 3},
        )

    # Guards against an explanation that takes the turn of a request.
    async def test_next_endpoint_in_turn_is_named(self):
        gateway = explaining_gateway.ExplainingGateway(
            [forwarding_parts.create_endpoint(f"i-{i}") for i in range(3)],
            entry.EntrySettings(placement=entry.Placement.ROUND_ROBIN),
        )
        gateway.adopt()
        request = forwarding_parts.admit_generation()
        for _ in range(4):
            await gateway.explain()
            [service] = (await gateway.explain()).services
            chosen = gateway.components.endpoint_chooser.choose(request, set())
            self.assertEqual(service.decision.endpoint_id, chosen.endpoint_id)

    async def test_cold_endpoint_without_a_free_share_is_not_used(self):
        gateway = _gateway()
        cold_service = msgspec.structs.replace(
            forwarding_parts.ENGINE_SERVICE, cold_s=60.0, cold_per_s=1.0
        )
        table = gateway.components.current.table
        table._services[cold_service.name] = cold_service
        endpoints = gateway.components.endpoints
        target = endpoints.get(ids.EndpointId("one"))
        endpoints.cold_endpoints.replace_all([])
        endpoints.cold_endpoints.put(target, ids.ObjectVersion(1))
        request = forwarding_parts.admit(
            forwarding_parts.create_generation_request(),
            kind.RequestKind.STREAM,
            cold_service,
        )
        [service] = (await gateway.explain()).services
        self.assertEqual(_exclusions(service)["one"], ())
        for _ in range(20):
            if await gateway.components.cold_limits.acquire(target, request):
                break
        [service] = (await gateway.explain()).services
        self.assertEqual(_exclusions(service)["one"], (Exclusion.COLD,))
        [view] = [v for v in service.endpoints if v.endpoint_id == "one"]
        self.assertGreater(view.cold_s, 50.0)
        self.assertNotEqual(service.decision.endpoint_id, "one")

    async def test_report_is_shown(self):
        gateway = _gateway()
        report = forwarding_parts.create_report(15_000, waiting=2, running=7)
        gateway.components.reports.put(ids.EndpointId("one"), report)
        [service] = (await gateway.explain()).services
        [view] = [v for v in service.endpoints if v.endpoint_id == "one"]
        self.assertEqual((view.running, view.waiting), (7, 2))
        self.assertGreater(view.memory_use, 0.5)
        self.assertIsNotNone(view.report_age_s)

    async def test_each_service_of_a_split_route_is_explained(self):
        gateway = _gateway(
            request_kind=kind.RequestKind.IDEMPOTENT,
            services=(
                route.WeightedService(forwarding_parts.ENGINE_SERVICE.name, 3),
                route.WeightedService(forwarding_parts.CALL_SERVICE.name, 1),
            ),
        )
        pool, desk = (await gateway.explain()).services
        self.assertEqual((pool.share, desk.share), (0.75, 0.25))
        self.assertIs(pool.decision.verdict, Verdict.SEND)
        self.assertIs(desk.decision.verdict, Verdict.REFUSE)
        self.assertEqual(desk.endpoints, ())

    async def test_coordinator_is_named(self):
        gateway = _gateway()
        _state_pace(gateway, "one")
        [service] = (await gateway.explain()).services
        self.assertTrue(service.is_coordinated)
        self.assertEqual(service.coordinators, ("front-1",))
        self.assertIs(service.decision.verdict, Verdict.ASK_COORDINATOR)
        self.assertIsNotNone(service.decision.endpoint_id)


class SideEffectsTest(unittest.IsolatedAsyncioTestCase):
    # Guards against explanations that change the choices that follow, for
    # example by drawing from the gateway's source of random choices.
    async def test_explanations_change_no_choice(self):
        chosen = []
        for explanation_count in (0, 50):
            gateway = _gateway()
            for _ in range(explanation_count):
                await gateway.explain()
                await gateway.explain(path="/other")
                # The retry time of this refusal is random.
                domains = gateway.components.endpoints.evacuated_domains
                domains.replace_all(("a-1", "a-2", "b-1"))
                await gateway.explain()
                domains.replace_all(())
            request = forwarding_parts.admit_generation()
            chooser = gateway.components.endpoint_chooser
            choices = [chooser.choose(request, set()) for _ in range(30)]
            chosen.append([choice.endpoint_id for choice in choices])
        self.assertEqual(chosen[0], chosen[1])
        self.assertGreater(len(set(chosen[0])), 1)

    # Guards against streams that stop while many endpoints are described.
    async def test_other_tasks_run_meanwhile(self):
        gateway = explaining_gateway.ExplainingGateway(
            [forwarding_parts.create_endpoint(f"i-{i}") for i in range(150)]
        )
        gateway.adopt()
        explaining = asyncio.create_task(gateway.explain())
        turns = 0
        while not explaining.done():
            await asyncio.sleep(0)
            turns += 1
        self.assertGreater(turns, 100)

    # Guards against a permit, a share or a placement that is used up.
    async def test_nothing_is_acquired(self):
        gateway = _gateway()
        _limit(gateway, "one", 5.0)
        _state_pace(gateway, "one")

        async def fail(*_):
            raise errors.NotRunError("acquired for an explanation")

        components = gateway.components
        components.permits.acquire = fail
        components.cold_limits.acquire = fail
        components.placement.chooser._caller.ask = fail
        components.placement.coordinator.decide = fail
        [service] = (await gateway.explain()).services
        self.assertIsNotNone(service.decision.endpoint_id)
        self.assertEqual(components.in_flight.counts(), {})
        self.assertEqual(len(components.placement_ledger), 0)


if __name__ == "__main__":
    unittest.main()
